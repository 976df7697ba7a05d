package assembler

import (
	"slices"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"hyssoprudder/internal/process/coordinator"
	"hyssoprudder/internal/request/placer"
)

// minReportedPause is the rest of a pause from which on it is reported. Shorter ones end
// before other endpoints could be started.
const minReportedPause = time.Second

var (
	leavingDesc = prometheus.NewDesc("hyssoprudder_leaving_endpoints", "Listed endpoints that said to this node that they leave.", nil, nil)
	pausedDesc  = prometheus.NewDesc("hyssoprudder_paused_endpoints", "Listed endpoints that want no calls from this node for a while.", nil, nil)
)

// notices reports what endpoints said of themselves, in the log and as metrics.
type notices struct {
	*entry
}

// Describe sends the descriptions of the metrics.
func (n *notices) Describe(out chan<- *prometheus.Desc) {
	out <- leavingDesc
	out <- pausedDesc
}

// Collect sends the metrics.
func (n *notices) Collect(out chan<- prometheus.Metric) {
	leaving, paused := 0, 0
	now := n.node.bootClock.Now()
	for _, notice := range n.placer.Notices() {
		if !notice.IsListed {
			continue
		}
		if !notice.LeavingSince.IsZero() {
			leaving++
		}
		if notice.IsPaused(now) {
			paused++
		}
	}
	out <- prometheus.MustNewConstMetric(leavingDesc, prometheus.GaugeValue, float64(leaving))
	out <- prometheus.MustNewConstMetric(pausedDesc, prometheus.GaugeValue, float64(paused))
}

// expire logs the notices that have ended.
func (n *notices) expire() {
	now := n.node.bootClock.Now()
	returned, left := n.placer.Expire(now)
	for _, e := range returned {
		n.node.log.Info("pause of an endpoint over; it gets calls from here again", "endpoint", e.ID, "service", e.Service, "lasted", now.Sub(e.PausedSince))
	}
	for _, e := range left {
		n.node.log.Info("endpoint has left; what it said is forgotten", "endpoint", e.ID, "service", e.Service, "age", now.Sub(e.LeavingSince))
	}
}

// report returns what listed endpoints said, for the leader.
func (n *notices) report() []coordinator.Notice {
	now := n.node.bootClock.Now()
	all := slices.DeleteFunc(n.placer.Notices(), func(e placer.Notice) bool { return !e.IsListed })
	if len(all) > coordinator.MaxNotices {
		slices.SortFunc(all, func(a, b placer.Notice) int { return newest(&b).Compare(newest(&a)) })
	}
	var out []coordinator.Notice
	for _, e := range all {
		notice := coordinator.Notice{ID: e.ID, Address: e.Address, IsLeaving: !e.LeavingSince.IsZero()}
		if rest := e.PausedUntil.Sub(now); rest >= minReportedPause {
			notice.Pause = rest
		}
		if (notice.IsLeaving || notice.Pause > 0) && len(out) < coordinator.MaxNotices {
			out = append(out, notice)
		}
	}
	return out
}

func newest(n *placer.Notice) time.Time {
	if n.LeavingSince.After(n.PausedSince) {
		return n.LeavingSince
	}
	return n.PausedSince
}

// hear records what endpoints said to other nodes, as the leader's list shows it.
func (n *notices) hear(list []coordinator.Endpoint) {
	for _, listed := range list {
		e := placer.Endpoint(listed)
		if e.SaidLeaving && n.placer.MarkLeaving(&e, n.node.bootClock.Now()) {
			n.node.log.Info("endpoint leaving; it gets no new calls from here", "endpoint", e.ID, "service", e.Service, "address", e.Address, "source", "leader")
		}
	}
}
