package forwarder

import (
	"sync"
	"time"

	"hyssoprudder/internal/process/registrar"
)

// waitSpan is how long the longest wait of a route's callers counts at least, and
// up to twice as long: a caller that waits for unusually long makes the others look
// late for no longer than that.
const waitSpan = 5 * time.Second

// longest is the longest wait of a route's callers in the present span of time and
// in the one before.
type longest struct {
	mu    sync.Mutex
	span  int64
	waits [2]time.Duration
}

// note takes a wait in and returns the longest one.
func (l *longest) note(wait time.Duration, now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if span := now.UnixNano() / int64(waitSpan); span != l.span {
		last := l.waits[0]
		if span != l.span+1 {
			last = 0
		}
		l.span, l.waits = span, [2]time.Duration{0, last}
	}
	l.waits[0] = max(l.waits[0], wait)
	return max(l.waits[0], l.waits[1])
}

// spent estimates how long the caller has waited before this attempt: callers of
// a route have the same time at first.
func (f *Forwarder) spent(route *registrar.Route, wait time.Duration, now time.Time) time.Duration {
	if wait <= 0 {
		return 0
	}
	known, ok := f.waits.Load(route.Name)
	if !ok {
		known, _ = f.waits.LoadOrStore(route.Name, &longest{})
	}
	return known.(*longest).note(wait, now) - wait
}
