package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot is a clock that also counts the time during which the machine was
// suspended, which the monotonic clock of System does not. Leases and bounds of
// freshness need it. It starts at the time of day and doesn't follow later
// changes of it, so its times never go back. Use NewBoot.
type Boot struct {
	start  time.Time     // time of day, without a monotonic reading
	booted time.Duration // since the boot, at start
	since  func() time.Duration
}

// NewBoot returns a clock that starts at the present time of day.
func NewBoot() *Boot {
	return newBoot(time.Now().Round(0), sinceBoot)
}

func newBoot(start time.Time, since func() time.Duration) *Boot {
	return &Boot{start: start, booted: since(), since: since}
}

// Now returns the time of day of the start plus all time that passed since.
func (b *Boot) Now() time.Time { return b.start.Add(b.since() - b.booted) }

// NewTimer returns a timer of the operating system's clock.
func (b *Boot) NewTimer(d time.Duration) Timer { return System{}.NewTimer(d) }

func sinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("clock: the kernel has no CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
