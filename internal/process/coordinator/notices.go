package coordinator

import (
	"net/netip"
	"time"
)

// MaxNotices is the number of notices in a report. Of more, the newest are reported first;
// those that the list shows are not reported again.
const MaxNotices = 16

// maxGroupNotices is the number of notices in the report of a relay.
const maxGroupNotices = 64

// Notice is what an endpoint said of itself to a node: that it leaves, for how much longer
// it wants no calls from that node, or when it was started. Times are in cluster time, in
// milliseconds since 1970.
type Notice struct {
	ID           string         `msgpack:"i"`
	Address      netip.AddrPort `msgpack:"a"`
	LeavingSince int64          `msgpack:"l,omitempty"`
	Born         int64          `msgpack:"b,omitempty"`
	Pause        time.Duration  `msgpack:"p,omitempty"`
	// Count is the number of entries of a relay's group that were asked for a pause; Pause is
	// then their median.
	Count int `msgpack:"c,omitempty"`
}

// maxNotices returns how many notices of a report count.
func (r *Report) maxNotices() int {
	if r.Group != nil {
		return maxGroupNotices
	}
	return MaxNotices
}

// noticeKey identifies one life of an endpoint.
type noticeKey struct {
	id      string
	address netip.AddrPort
}

func (n *Notice) key() noticeKey { return noticeKey{n.ID, n.Address} }

// said is what a listed endpoint said of itself.
type said struct {
	leavingSince int64
	born         int64
	markedAt     time.Time // by the leader's clock
}

// recordNotices records what listed endpoints said to a node, and shows it in the list, so
// that the other nodes hear of it. A start after an endpoint said that it leaves takes that
// back.
func (c *Core) recordNotices(r *Report, now time.Time) {
	for i := range r.Notices[:min(len(r.Notices), r.maxNotices())] {
		n := &r.Notices[i]
		s := c.said[n.key()]
		if n.Born > s.born {
			s.born = n.Born
		}
		if s.leavingSince == 0 && n.LeavingSince > s.born {
			s.leavingSince, s.markedAt = n.LeavingSince, now
		}
		if s.leavingSince <= s.born {
			s.leavingSince = 0
		}
		if s != (said{}) && c.list.setSaid(n.key(), &s) {
			c.said[n.key()] = s
		}
	}
}

// withNotices returns the provider's list with what endpoints said themselves, and forgets
// what those said that are no longer listed. Nodes that still know it report it again if
// the endpoint was missing from the list only for a while.
func (c *Core) withNotices(endpoints []Endpoint) []Endpoint {
	if len(c.said) == 0 {
		return endpoints
	}
	out, listed := make([]Endpoint, len(endpoints)), make(map[noticeKey]said)
	for i, e := range endpoints {
		key := noticeKey{e.ID, e.Address}
		if s, ok := c.said[key]; ok {
			e.LeavingSince, e.Born, listed[key] = s.leavingSince, s.born, s
		}
		out[i] = e
	}
	c.said = listed
	return out
}

// setSaid shows in the list what an endpoint said. It reports false if the endpoint is not
// listed or nothing changed.
func (l *list) setSaid(key noticeKey, s *said) bool {
	position, ok := l.byID[key.id]
	if !ok {
		return false
	}
	e := &l.byPosition[position]
	if e.Address != key.address || e.LeavingSince == s.leavingSince && e.Born == s.born {
		return false
	}
	l.version.Number++
	e.LeavingSince, e.Born, l.changedIn[position] = s.leavingSince, s.born, l.version.Number
	clear(l.pages)
	return true
}

// LeavingFor returns for how long it has been known that an endpoint said that it leaves; 0
// if it didn't.
func (c *Core) LeavingFor(e *Endpoint, now time.Time) time.Duration {
	s := c.said[noticeKey{e.ID, e.Address}]
	if s.leavingSince == 0 {
		return 0
	}
	return now.Sub(s.markedAt)
}

// PausedLonger returns for each position of the list whether at least half of the entries
// were asked by the endpoint for a pause that lasts longer than d from now on.
func (c *Core) PausedLonger(d time.Duration, now time.Time) map[int]bool {
	counts, entries := make(map[int]int), 0
	for _, n := range c.nodes {
		age := now.Sub(n.receivedAt)
		if age > nodeTimeout {
			continue
		}
		entries += n.entries()
		for i := range n.report.Notices[:min(len(n.report.Notices), n.report.maxNotices())] {
			notice := &n.report.Notices[i]
			position, ok := c.list.byID[notice.ID]
			if ok && notice.Pause-age > d && c.list.byPosition[position].Address == notice.Address {
				counts[position] += max(notice.Count, 1)
			}
		}
	}
	out := make(map[int]bool)
	for position, count := range counts {
		out[position] = 2*count >= entries
	}
	return out
}
