package engine

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"hyssoprudder/internal/standin/hoster"
)

// maxEventsPerReply is the largest number of events in one answer.
const maxEventsPerReply = 2048

// event is one change of the prefix cache, as GET /events returns it.
type event struct {
	Seq    uint64 `json:"seq"`
	Op     string `json:"op"` // add or drop
	Prefix string `json:"prefix"`
	at     time.Time
}

// record stores a change of the cache as an event, or loses it with probability
// EventLossRate. The caller holds the lock.
func (e *Engine) record(c change) {
	e.seq++
	if e.random.Float64() < e.spec.EventLossRate {
		return
	}
	op := "drop"
	if c.add {
		op = "add"
	}
	e.events = append(e.events, event{Seq: e.seq, Op: op, Prefix: fmt.Sprintf("%016x", c.hash), at: e.clock.Now()})
	if len(e.events) > 2*maxEvents {
		e.events = append([]event(nil), e.events[len(e.events)-maxEvents:]...)
	}
}

func (e *Engine) getEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	e.mu.Lock()
	cutoff := e.clock.Now().Add(-e.spec.scaled(e.spec.EventLag))
	events := []event{}
	for _, ev := range e.events {
		if ev.at.After(cutoff) || len(events) == maxEventsPerReply {
			break
		}
		if ev.Seq > after {
			events = append(events, ev)
		}
	}
	e.mu.Unlock()
	hoster.Reply(w, http.StatusOK, struct {
		Events []event `json:"events"`
	}{events})
}
