// Package clock provides time through an interface, so that decisions that depend on time can be tested without
// waiting.
package clock

import "time"

// Clock returns the time and creates timers. Implementations are safe for concurrent use.
type Clock interface {
	// Now returns the current time, with a monotonic reading where one exists.
	Now() time.Time
	// NewTimer returns a timer that fires once, d from now.
	NewTimer(d time.Duration) Timer
}

// Timer fires once on its channel.
type Timer interface {
	// C returns the channel that receives the time at which the timer fired.
	C() <-chan time.Time
	// Stop prevents the timer from firing and reports whether it did so.
	Stop() bool
	// Reset restarts a stopped or expired timer to fire d from now.
	Reset(d time.Duration)
}

// Sleep blocks until d has passed or done is closed. It reports whether the
// whole duration passed.
func Sleep(c Clock, d time.Duration, done <-chan struct{}) bool {
	timer := c.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C():
		return true
	case <-done:
		return false
	}
}

// System is the clock of the operating system.
type System struct{}

// Now returns the current time.
func (System) Now() time.Time { return time.Now() }

// NewTimer returns a timer of the operating system's clock.
func (System) NewTimer(d time.Duration) Timer {
	return &systemTimer{timer: time.NewTimer(d)}
}

type systemTimer struct {
	timer *time.Timer
}

func (t *systemTimer) C() <-chan time.Time   { return t.timer.C }
func (t *systemTimer) Stop() bool            { return t.timer.Stop() }
func (t *systemTimer) Reset(d time.Duration) { t.timer.Reset(d) }
