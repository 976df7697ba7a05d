package forwarder

import (
	"sync"
	"time"

	"hyssoprudder/internal/process/registrar"
)

// longestWaitWindow is the least time for which the longest wait of a route's callers
// counts; it counts for up to twice as long. A caller with an unusually long wait
// makes the other callers look late for no longer than that.
const longestWaitWindow = 5 * time.Second

// longestWait is the largest MaxWait that callers of a route stated in the current
// window and in the previous one.
type longestWait struct {
	mu     sync.Mutex
	window int64
	waits  [2]time.Duration
}

// record records a wait and returns the longest one.
func (l *longestWait) record(wait time.Duration, now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if window := now.UnixNano() / int64(longestWaitWindow); window != l.window {
		previous := l.waits[0]
		if window != l.window+1 {
			previous = 0
		}
		l.window, l.waits = window, [2]time.Duration{0, previous}
	}
	l.waits[0] = max(l.waits[0], wait)
	return max(l.waits[0], l.waits[1])
}

// waitedBefore estimates how long the caller has waited before this call, assuming
// that the callers of a route start with the same maximum wait.
func (f *Forwarder) waitedBefore(route *registrar.Route, wait time.Duration, now time.Time) time.Duration {
	if wait <= 0 {
		return 0
	}
	tracker, ok := f.longestWaits.Load(route.Name)
	if !ok {
		tracker, _ = f.longestWaits.LoadOrStore(route.Name, &longestWait{})
	}
	return tracker.(*longestWait).record(wait, now) - wait
}
