package gossiper

import (
	"cmp"
	"math"
	"slices"
)

// The classes of rumours, the most urgent first.
const (
	classUrgent  uint8 = iota // leaving marks and the newest revision
	classMember               // changes of members
	classRunning              // revisions in force
)

// urgentSendings is how often an urgent rumour is sent as fast as the budget
// allows.
const urgentSendings = 6

// rumour is one item that this node still passes on.
type rumour struct {
	key   string
	class uint8
	item  item
	sent  int
}

// rumours is the queue of items to pass on. A newer item about the same thing
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

// take returns items of at most room bytes, to be sent copies times, and drops
// those that were sent limit times. The most urgent and least sent come first.
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

// isUrgent reports whether a rumour that can't wait was sent only a few times.
func (r *rumours) isUrgent() bool {
	return slices.ContainsFunc(r.order, func(n *rumour) bool {
		return n.class == classUrgent && n.sent < urgentSendings
	})
}

// transmissions returns how often each node passes on a rumour among n nodes.
// A node is missed with a probability of about e^-4 over all nodes; the
// comparison of views makes up for that.
func transmissions(n int) int {
	return int(math.Ceil(math.Log(float64(n+1)))) + 4
}
