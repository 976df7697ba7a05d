package engine

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"hyssoprudder/internal/standin/hoster"
)

const eventsPerCall = 2048

// event is one change of the prefix cache.
type event struct {
	Seq    uint64 `json:"seq"`
	Op     string `json:"op"` // add or drop
	Prefix string `json:"prefix"`
	at     time.Time
}

// record keeps a cache event, or loses it. The caller holds the lock.
func (e *Engine) record(c change) {
	e.seq++
	if e.random.Float64() < e.spec.EventGap {
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
	visible := e.clock.Now().Add(-e.spec.scaled(e.spec.EventLag))
	found := []event{}
	for _, ev := range e.events {
		if ev.at.After(visible) || len(found) == eventsPerCall {
			break
		}
		if ev.Seq > after {
			found = append(found, ev)
		}
	}
	e.mu.Unlock()
	hoster.Reply(w, http.StatusOK, struct {
		Events []event `json:"events"`
	}{found})
}
