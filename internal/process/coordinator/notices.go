package coordinator

import (
	"net/netip"
	"time"
)

// MaxNotices is the number of notices in a report. Of more, the newest are reported.
const MaxNotices = 32

// Notice is what an endpoint said of itself to a node: that it leaves, or for how much
// longer it wants no calls from that node.
type Notice struct {
	ID        string         `msgpack:"i"`
	Address   netip.AddrPort `msgpack:"a"`
	IsLeaving bool           `msgpack:"l,omitempty"`
	Pause     time.Duration  `msgpack:"p,omitempty"`
}

// noticeKey identifies one life of an endpoint.
type noticeKey struct {
	id      string
	address netip.AddrPort
}

func (n *Notice) key() noticeKey { return noticeKey{n.ID, n.Address} }

// recordLeaving records which listed endpoints said to a node that they leave, and shows it
// in the list, so that the other nodes hear of it.
func (c *Core) recordLeaving(r *Report, now time.Time) {
	for i := range r.Notices[:min(len(r.Notices), MaxNotices)] {
		n := &r.Notices[i]
		if n.IsLeaving && c.list.markLeaving(n.key()) {
			c.leaving[n.key()] = now
		}
	}
}

// withLeaving returns the provider's list with what endpoints said themselves, and forgets
// what those said that are no longer listed. Nodes that still know it report it again if
// the endpoint was missing from the list only for a while.
func (c *Core) withLeaving(endpoints []Endpoint) []Endpoint {
	if len(c.leaving) == 0 {
		return endpoints
	}
	out, listed := make([]Endpoint, len(endpoints)), make(map[noticeKey]time.Time)
	for i, e := range endpoints {
		key := noticeKey{e.ID, e.Address}
		if since, ok := c.leaving[key]; ok {
			e.SaidLeaving, listed[key] = true, since
		}
		out[i] = e
	}
	c.leaving = listed
	return out
}

// markLeaving marks a listed endpoint. It reports false if it is not listed or was marked
// before.
func (l *list) markLeaving(key noticeKey) bool {
	position, ok := l.byID[key.id]
	if !ok || l.byPosition[position].Address != key.address || l.byPosition[position].SaidLeaving {
		return false
	}
	l.version.Number++
	l.byPosition[position].SaidLeaving, l.changedIn[position] = true, l.version.Number
	clear(l.pages)
	return true
}

// LeavingFor returns for how long it has been known that an endpoint said that it leaves; 0
// if it didn't.
func (c *Core) LeavingFor(e *Endpoint, now time.Time) time.Duration {
	since, ok := c.leaving[noticeKey{e.ID, e.Address}]
	if !ok {
		return 0
	}
	return now.Sub(since)
}

// PausedLonger returns for each position of the list whether at least half of the entries
// were asked by the endpoint for a pause that lasts longer than d from now on.
func (c *Core) PausedLonger(d time.Duration, now time.Time) map[int]bool {
	counts, entries := make(map[int]int), 0
	for _, n := range c.nodes {
		age := now.Sub(n.receivedAt)
		if !n.report.Entry || age > nodeTimeout {
			continue
		}
		entries++
		for i := range n.report.Notices[:min(len(n.report.Notices), MaxNotices)] {
			notice := &n.report.Notices[i]
			position, ok := c.list.byID[notice.ID]
			if ok && notice.Pause-age > d && c.list.byPosition[position].Address == notice.Address {
				counts[position]++
			}
		}
	}
	out := make(map[int]bool)
	for position, count := range counts {
		out[position] = 2*count >= entries
	}
	return out
}
