package clock

import (
	"sync"
	"time"
)

// Manual is a clock that advances only when Advance is called. The zero value is not usable; call NewManual.
type Manual struct {
	mu     sync.Mutex
	now    time.Time
	timers map[*manualTimer]struct{}
}

// NewManual returns a clock that is set to start.
func NewManual(start time.Time) *Manual {
	return &Manual{now: start, timers: make(map[*manualTimer]struct{})}
}

// Now returns the time that the clock is set to.
func (m *Manual) Now() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// Advance advances the clock by d and fires every timer that is due.
func (m *Manual) Advance(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now = m.now.Add(d)
	for t := range m.timers {
		m.fireIfDue(t)
	}
}

// NewTimer returns a timer that fires when the clock has advanced by d.
func (m *Manual) NewTimer(d time.Duration) Timer {
	t := &manualTimer{clock: m, ch: make(chan time.Time, 1)}
	t.Reset(d)
	return t
}

func (m *Manual) fireIfDue(t *manualTimer) {
	if t.due.After(m.now) {
		return
	}
	delete(m.timers, t)
	select {
	case t.ch <- m.now:
	default:
	}
}

type manualTimer struct {
	clock *Manual
	ch    chan time.Time
	due   time.Time
}

func (t *manualTimer) C() <-chan time.Time { return t.ch }

func (t *manualTimer) Stop() bool {
	t.clock.mu.Lock()
	defer t.clock.mu.Unlock()
	_, armed := t.clock.timers[t]
	delete(t.clock.timers, t)
	return armed
}

func (t *manualTimer) Reset(d time.Duration) {
	t.clock.mu.Lock()
	defer t.clock.mu.Unlock()
	t.due = t.clock.now.Add(d)
	t.clock.timers[t] = struct{}{}
	t.clock.fireIfDue(t)
}
