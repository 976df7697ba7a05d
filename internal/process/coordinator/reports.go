package coordinator

import (
	"math"
	"time"

	"hyssoprudder/internal/process/attributor"
)

// maxSilence is the number of intervals without a report after which a node is not waited for: what it could still
// report comes too late.
const maxSilence = 2

// reviewReports computes what is known of the reports of entries. Relays that no entry reports to hold nothing back.
func (c *Core) reviewReports(now time.Time) {
	coverage := newCoverage()
	c.reports = attributor.Reports{Interval: c.minInterval(now), MinInterval: c.minInterval(now)}
	for _, n := range c.nodes {
		var interval time.Duration
		switch g := n.report.Group; {
		case g != nil && g.Entries > 0 && now.Sub(n.receivedAt) < relayTimeout:
			interval = g.Interval + c.relayInterval(now)
		case n.report.Entry && now.Sub(n.receivedAt) < maxSilence*c.entryInterval(now):
			interval = c.entryInterval(now)
		default:
			continue
		}
		c.reports.Interval = max(c.reports.Interval, interval)
		coverage.add(&n.report)
	}
	c.reports.EvidenceAt, c.reports.InformedAt = coverage.times()
}

// coverage is until when all of several reports tell what entries know, in cluster time, in nanoseconds since 1970.
type coverage struct{ evidenceAt, informedAt int64 }

func newCoverage() coverage { return coverage{math.MaxInt64, math.MaxInt64} }

func (c *coverage) add(r *Report) {
	c.evidenceAt, c.informedAt = min(c.evidenceAt, r.EvidenceAt), min(c.informedAt, r.InformedAt)
}

// isEmpty reports whether there were no reports.
func (c *coverage) isEmpty() bool { return c.evidenceAt == math.MaxInt64 }

// times returns the times, which are zero if they are not known.
func (c *coverage) times() (evidenceAt, informedAt time.Time) {
	if c.isEmpty() || c.evidenceAt == 0 {
		return time.Time{}, time.Time{}
	}
	return time.Unix(0, c.evidenceAt), time.Unix(0, c.informedAt)
}
