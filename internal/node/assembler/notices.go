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

// report returns what listed endpoints said and the leader's list does not show yet, and their
// pauses.
func (n *notices) report() []coordinator.Notice {
	now := n.node.bootClock.Now()
	all := slices.DeleteFunc(n.placer.Notices(), func(e placer.Notice) bool { return !e.IsListed })
	if len(all) > coordinator.MaxNotices {
		slices.SortFunc(all, func(a, b placer.Notice) int { return newest(&b).Compare(newest(&a)) })
	}
	var out []coordinator.Notice
	for _, e := range all {
		notice := coordinator.Notice{ID: e.ID, Address: e.Address}
		if !e.IsBornShown {
			notice.Born = e.Born
		}
		if !e.LeavingSince.IsZero() && !e.IsShown {
			notice.LeavingSince = n.leavingSince(&e)
		}
		if rest := e.PausedUntil.Sub(now); rest >= minReportedPause {
			notice.Pause = rest
		}
		if (notice.LeavingSince > 0 || notice.Born > 0 || notice.Pause > 0) && len(out) < coordinator.MaxNotices {
			out = append(out, notice)
		}
	}
	return out
}

// leavingSince returns the cluster time at which an endpoint was first known to leave, in
// milliseconds since 1970.
func (n *notices) leavingSince(e *placer.Notice) int64 {
	return n.clusterTime().Add(e.LeavingSince.Sub(n.node.bootClock.Now())).UnixMilli()
}

func newest(n *placer.Notice) time.Time {
	if n.LeavingSince.After(n.PausedSince) {
		return n.LeavingSince
	}
	return n.PausedSince
}

// hear records what endpoints said to other nodes, as the leader's list shows it.
func (n *notices) hear(list []coordinator.Endpoint) {
	var known map[string]placer.Notice
	for _, listed := range list {
		if listed.LeavingSince == 0 && listed.Born == 0 {
			continue
		}
		if known == nil {
			known = n.byID()
		}
		e := placer.Endpoint(listed)
		notice := known[e.ID]
		switch {
		case e.LeavingSince > notice.Born && e.LeavingSince > 0:
			if n.placer.MarkLeaving(&e, n.node.bootClock.Now()) {
				n.node.log.Info("endpoint leaving; it gets no new calls from here", "endpoint", e.ID, "service", e.Service, "address", e.Address, "source", "leader")
			}
		case !notice.LeavingSince.IsZero() && e.Born > n.leavingSince(&notice):
			n.reborn(&e, e.Born, "leader")
		}
	}
}

// byID returns the notices of listed endpoints.
func (n *notices) byID() map[string]placer.Notice {
	out := make(map[string]placer.Notice)
	for _, notice := range n.placer.Notices() {
		if notice.IsListed {
			out[notice.ID] = notice
		}
	}
	return out
}

// reborn records that an endpoint was started again.
func (n *notices) reborn(e *placer.Endpoint, born int64, source string) {
	age := n.clusterTime().Sub(time.UnixMilli(born)) + lifeDelay
	if n.placer.Reborn(e, born, n.node.bootClock.Now().Add(-age)) {
		n.node.log.Info("endpoint was started again; it gets calls from here", "endpoint", e.ID, "service", e.Service, "address", e.Address, "born", born, "source", source)
	}
}
