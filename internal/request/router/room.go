package router

import (
	"math"
	"time"

	"hyssoprudder/internal/process/observer"
)

const reserveFraction = 0.1 // of the limit

// Room is the capacity that a service has left within its latency target.
type Room struct {
	free  float64
	limit float64
	own   float64
	total float64
	first time.Duration
	next  time.Duration
}

// Free returns how many more calls may start now.
func (r Room) Free() float64 { return r.free }

// Limit returns how many calls of all entries may run at once.
func (r Room) Limit() float64 { return r.limit }

// Share returns the fraction of the calls in flight that belong to this entry.
func (r Room) Share() float64 {
	if r.total <= 0 {
		return 0
	}
	return r.own / r.total
}

// Reserve returns the capacity that less urgent calls of any entry leave to more
// urgent ones.
func (r Room) Reserve() float64 { return reserveFraction * r.limit }

// First returns the shortest predicted time to the first byte, for a call without a
// prompt.
func (r Room) First() time.Duration { return r.first }

// Next returns the predicted time between two tokens at the limit.
func (r Room) Next() time.Duration { return r.next }

// roomTTL is how long the room of a large group is cached, since measuring it for each
// call would take too long.
const roomTTL = 10 * time.Millisecond

// Room returns the capacity left for a service. Endpoints that are leaving or ejected
// provide none.
func (r *Router) Room(now time.Time, service string) Room {
	g, ok := r.table.Load().groups[service]
	if !ok {
		return Room{}
	}
	if len(g.endpoints) <= maxFullScan {
		return r.measureRoom(now, service, g)
	}
	state := g.state
	state.mu.Lock()
	defer state.mu.Unlock()
	if age := now.Sub(state.roomAt); age < 0 || age >= roomTTL {
		state.room, state.roomAt = r.measureRoom(now, service, g), now
	}
	return state.room
}

func (r *Router) measureRoom(now time.Time, service string, g *group) Room {
	room := Room{first: math.MaxInt64}
	closed := r.closedVersions(service, g)
	r.observer.Visit(g.handles, g.all, func(i int, load *observer.Load) {
		inFlight := load.InFlight(now)
		room.own += float64(load.OwnInFlight())
		room.total += inFlight
		if load.Leaving() || load.Ejected(now) || closed != nil && closed[g.versionIndex[i]] {
			return
		}
		limit := callLimit(now, load, g.target)
		room.limit += limit
		first := load.First(now, observer.Work{Decode: 1})
		room.first = min(room.first, first)
		room.next = max(room.next, g.target.Next, load.Next(now, 0))
		if g.target.First == 0 || first < g.target.First {
			room.free += max(limit-inFlight, 0)
		}
	})
	return room
}

// closedVersions reports for each version of the group whether it gets no calls. Nil
// means that all versions get calls.
func (r *Router) closedVersions(service string, g *group) []bool {
	if r.VersionWeight == nil {
		return nil
	}
	closed := make([]bool, len(g.versions))
	for n, version := range g.versions {
		closed[n] = r.VersionWeight(service, "", version) <= 0
	}
	return closed
}

// callLimit returns how many calls an endpoint can run at once within the target.
func callLimit(now time.Time, load *observer.Load, target Target) float64 {
	slots := float64(load.Slots())
	if target.Next == 0 {
		return slots
	}
	growth := load.Growth().Seconds()
	if growth <= 0 {
		return slots
	}
	spare := target.Next.Seconds() - load.Next(now, 0).Seconds()
	return min(max(math.Floor(load.InFlight(now)+spare/growth), 1), slots)
}
