package router

import (
	"math"
	"time"

	"hyssoprudder/internal/process/observer"
)

const reserveShare = 0.1 // of the limit

// Room is what a service can still take within its latency target.
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

// Limit returns how many calls may run at once, of all entries.
func (r Room) Limit() float64 { return r.limit }

// Share returns the part of the calls that run which are this entry's own.
func (r Room) Share() float64 {
	if r.total <= 0 {
		return 0
	}
	return r.own / r.total
}

// Reserve returns the room that less urgent calls leave to more urgent ones at any entry.
func (r Room) Reserve() float64 { return reserveShare * r.limit }

// First returns the shortest predicted time to the first byte, of a call without work.
func (r Room) First() time.Duration { return r.first }

// Next returns the predicted time between two tokens at the limit.
func (r Room) Next() time.Duration { return r.next }

// roomHold is how long the room of a group too large to look at on each call is kept.
const roomHold = 10 * time.Millisecond

// Room returns what a service can still take. Endpoints that are leaving or ejected
// take nothing.
func (r *Router) Room(now time.Time, service string) Room {
	g, ok := r.table.Load().groups[service]
	if !ok {
		return Room{}
	}
	if len(g.endpoints) <= fullScan {
		return r.measureRoom(now, service, g)
	}
	f := g.flow
	f.mu.Lock()
	defer f.mu.Unlock()
	if age := now.Sub(f.roomAt); age < 0 || age >= roomHold {
		f.room, f.roomAt = r.measureRoom(now, service, g), now
	}
	return f.room
}

func (r *Router) measureRoom(now time.Time, service string, g *group) Room {
	room := Room{first: math.MaxInt64}
	closed := r.closedVersions(service, g)
	r.observer.Visit(g.handles, g.all, func(i int, load *observer.Load) {
		running := load.InFlight(now)
		room.own += float64(load.OwnInFlight())
		room.total += running
		if load.Leaving() || load.Ejected(now) || closed != nil && closed[g.version[i]] {
			return
		}
		limit := limitOf(now, load, g.target)
		room.limit += limit
		first := load.First(now, observer.Work{Decode: 1})
		room.first = min(room.first, first)
		room.next = max(room.next, g.target.Next, load.Next(now, 0))
		if g.target.First == 0 || first < g.target.First {
			room.free += max(limit-running, 0)
		}
	})
	return room
}

// closedVersions tells for each version of the group whether it gets no calls. Nil means
// that all get calls.
func (r *Router) closedVersions(service string, g *group) []bool {
	if r.Weigh == nil {
		return nil
	}
	closed := make([]bool, len(g.versions))
	for n, version := range g.versions {
		closed[n] = r.Weigh(service, "", version) <= 0
	}
	return closed
}

// limitOf returns how many calls an endpoint runs within the target.
func limitOf(now time.Time, load *observer.Load, target Target) float64 {
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
