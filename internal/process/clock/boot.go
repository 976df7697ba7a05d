package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot is a clock that also counts the time during which the machine was suspended, which the monotonic clock
// of System does not. Leases and limits on staleness depend on it. It starts at the wall clock time and
// ignores later changes of the wall clock, so its time never decreases. Use NewBoot to create it.
type Boot struct {
	start         time.Time // wall clock, without a monotonic reading
	uptimeAtStart time.Duration
	uptime        func() time.Duration // time since boot, including suspension
}

// NewBoot returns a clock that starts at the current wall clock time.
func NewBoot() *Boot {
	return newBoot(time.Now().Round(0), readUptime)
}

func newBoot(start time.Time, uptime func() time.Duration) *Boot {
	return &Boot{start: start, uptimeAtStart: uptime(), uptime: uptime}
}

// Now returns the wall clock time of the start plus the time elapsed since, including suspension.
func (b *Boot) Now() time.Time { return b.start.Add(b.uptime() - b.uptimeAtStart) }

// NewTimer returns a timer of the operating system's clock.
func (b *Boot) NewTimer(d time.Duration) Timer { return System{}.NewTimer(d) }

func readUptime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("clock: the kernel has no CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
