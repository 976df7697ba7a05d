package registrar

import "time"

// Freshness tracks for how long a node has known that its rules were replaced. The zero value is ready for use.
// It is a state machine and not safe for concurrent use.
type Freshness struct {
	newest uint64    // number of the newest ruleset that was named
	since  time.Time // since when a newer ruleset than the one in force is known
}

// Name records at now that newest is the number of the newest ruleset, while inForce is in force.
func (f *Freshness) Name(newest, inForce uint64, now time.Time) {
	if newest <= f.newest {
		return
	}
	if f.newest <= inForce {
		f.since = now
	}
	f.newest = newest
}

// Outdated returns for how long a newer ruleset than inForce has been known, 0 if none is.
func (f *Freshness) Outdated(inForce uint64, now time.Time) time.Duration {
	if f.newest <= inForce {
		return 0
	}
	return now.Sub(f.since)
}
