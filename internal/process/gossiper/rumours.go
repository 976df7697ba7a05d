package gossiper

import (
	"cmp"
	"math"
	"slices"
)

// The classes of rumours, the most urgent first.
const (
	classUrgent         uint8 = iota // leaving marks, members that leave and the newest revision
	classMember                      // changes of members
	classActiveRevision              // revisions in force
)

// urgentTransmissions is how many times an urgent rumour is sent as fast as the
// budget allows.
const urgentTransmissions = 6

// rumour is one item that this node still spreads.
type rumour struct {
	key   string
	class uint8
	item  item
	sent  int
}

// rumours is the queue of items to spread. A newer item with the same key
// replaces the older one.
type rumours struct {
	byKey map[string]*rumour
	order []*rumour
}

func newRumours() *rumours { return &rumours{byKey: make(map[string]*rumour)} }

func (r *rumours) add(key string, class uint8, i item) {
	if old, ok := r.byKey[key]; ok {
		old.class, old.item, old.sent = class, i, 0
		return
	}
	n := &rumour{key: key, class: class, item: i}
	r.byKey[key] = n
	r.order = append(r.order, n)
}

func (r *rumours) len() int { return len(r.order) }

// take returns items that fit into room bytes and counts them as sent copies
// times. It removes those sent limit times or more. The most urgent items come
// first, and among these the least sent.
func (r *rumours) take(room, copies, limit int) []item {
	if len(r.order) == 0 {
		return nil
	}
	slices.SortStableFunc(r.order, func(a, b *rumour) int {
		return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.sent, b.sent))
	})
	var items []item
	for _, n := range r.order {
		if size := n.item.size(); size <= room && n.sent < limit {
			room -= size
			n.sent += copies
			items = append(items, n.item)
		}
	}
	r.order = slices.DeleteFunc(r.order, func(n *rumour) bool {
		if n.sent >= limit {
			delete(r.byKey, n.key)
			return true
		}
		return false
	})
	return items
}

// hasUrgent reports whether an urgent rumour was sent fewer than
// urgentTransmissions times.
func (r *rumours) hasUrgent() bool {
	return slices.ContainsFunc(r.order, func(n *rumour) bool {
		return n.class == classUrgent && n.sent < urgentTransmissions
	})
}

// transmissions returns how many times each node sends a rumour in a deployment
// of n nodes. The probability that any node misses a rumour is about e^-4; the
// comparison of views repairs that.
func transmissions(n int) int {
	return int(math.Ceil(math.Log(float64(n+1)))) + 4
}
