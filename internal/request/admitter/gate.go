package admitter

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"hyssoprudder/internal/process/clock"
)

const releaseInterval = 10 * time.Millisecond

// Gate blocks the calls of one service until an admitter has decided about them.
type Gate struct {
	clock    clock.Clock
	admitter *Admitter
	room     func(now time.Time) Room
	next     atomic.Uint64
	wake     chan struct{}
	stop     chan struct{}
	stopped  chan struct{}

	mu      sync.Mutex
	pending map[uint64]chan Decision
}

// NewGate starts a gate. room returns the capacity that the service has left.
func NewGate(c clock.Clock, a *Admitter, room func(now time.Time) Room) *Gate {
	g := &Gate{
		clock: c, admitter: a, room: room, pending: make(map[uint64]chan Decision),
		wake: make(chan struct{}, 1), stop: make(chan struct{}), stopped: make(chan struct{}),
	}
	go g.run()
	return g
}

// Close stops the gate's goroutine. Waiting calls are ended by their contexts.
func (g *Gate) Close() {
	close(g.stop)
	<-g.stopped
}

// Admitter returns the gate's admitter, for state dumps.
func (g *Gate) Admitter() *Admitter { return g.admitter }

// Enter returns the decision about a call, after waiting while the call is queued. If
// the call is admitted, Leave must be called when it has ended. If ctx ends first,
// the call is refused.
func (g *Gate) Enter(ctx context.Context, r Request) Decision {
	r.ID = g.next.Add(1)
	done := make(chan Decision, 1)
	g.mu.Lock()
	g.pending[r.ID] = done
	g.mu.Unlock()
	now := g.clock.Now()
	g.deliver(g.admitter.Offer(now, r, g.room(now)))
	select {
	case d := <-done:
		return d
	default:
	}
	select {
	case g.wake <- struct{}{}:
	default:
	}
	select {
	case d := <-done:
		return d
	case <-ctx.Done():
		return g.cancel(r.ID, done)
	}
}

func (g *Gate) cancel(id uint64, done chan Decision) Decision {
	if !g.admitter.Cancel(id) {
		return <-done
	}
	g.mu.Lock()
	delete(g.pending, id)
	g.mu.Unlock()
	return Decision{id: id, kind: Refuse, reason: Late}
}

// Leave records that an admitted call has ended and admits waiting calls.
func (g *Gate) Leave() {
	g.admitter.Done()
	g.release()
}

func (g *Gate) release() {
	if g.admitter.Waiting() == 0 {
		return
	}
	now := g.clock.Now()
	g.deliver(g.admitter.Release(now, g.room(now)))
}

func (g *Gate) deliver(decisions []Decision) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, d := range decisions {
		if d.kind == Queue {
			continue
		}
		if done, ok := g.pending[d.id]; ok {
			delete(g.pending, d.id)
			done <- d
		}
	}
}

// run releases calls periodically while any are waiting.
func (g *Gate) run() {
	defer close(g.stopped)
	for {
		select {
		case <-g.wake:
		case <-g.stop:
			return
		}
		for g.admitter.Waiting() > 0 {
			if !clock.Sleep(g.clock, releaseInterval, g.stop) {
				return
			}
			g.release()
		}
	}
}
