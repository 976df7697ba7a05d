// Package divider decides how much of each customer's limit each node may let
// through, at the one node that leads.
package divider

import (
	"time"
)

const (
	// evenShare is the part of a limit that is divided evenly, so that a node to
	// which a customer turns finds something there; the rest follows the demand.
	evenShare = 0.3
	// minChange is the smallest growth of a share that is worth a message.
	minChange = 0.002
)

// holder is what the divider knows of one node.
type holder struct {
	incarnation uint64
	demand      map[string]float64
	granted     map[string]float64 // the most that the node may hold until it confirms
	until       time.Time          // end of what was granted
}

// Divider decides the shares of all nodes. The shares of a limit add up to no
// more than 1 at any moment: what a node may still hold is never given to another.
// It is not safe for concurrent use.
type Divider struct {
	length  time.Duration
	started time.Time
	nodes   map[string]*holder
}

// New returns a divider that begins at start. Shares last for length from
// when they were asked for. Until length has passed, nodes keep what they hold
// from before, and none gets more.
func New(start time.Time, length time.Duration) *Divider {
	return &Divider{length: length, started: start, nodes: make(map[string]*holder)}
}

// Settle notes that every node that may hold a share has reported.
func (d *Divider) Settle() { d.started = time.Time{} }

// Length returns how long a share lasts.
func (d *Divider) Length() time.Duration { return d.length }

// Renew takes a node's report and returns its shares. held are the shares that
// the node holds; names are the customers with limits.
func (d *Divider) Renew(node string, incarnation uint64, demand, held map[string]float64, names []string, now time.Time) map[string]float64 {
	h := d.nodes[node]
	if h == nil || h.incarnation != incarnation {
		// A node that started anew holds nothing of what it was granted before.
		h = &holder{incarnation: incarnation, granted: make(map[string]float64)}
		d.nodes[node] = h
	}
	h.demand = demand
	for other, o := range d.nodes {
		if other != node && !now.Before(o.until) {
			delete(d.nodes, other)
		}
	}
	shares := make(map[string]float64, len(names))
	for _, name := range names {
		shares[name] = d.share(node, h, name, held[name], now)
		// Until the node confirms a smaller share it may still use the larger one.
		h.granted[name] = max(shares[name], held[name])
	}
	h.until = now.Add(d.length)
	return shares
}

func (d *Divider) share(node string, h *holder, name string, held float64, now time.Time) float64 {
	if !d.started.IsZero() && now.Sub(d.started) < d.length {
		return held
	}
	wanted, others := d.wanted(h, name), 0.0
	for other, o := range d.nodes {
		if other != node {
			others += o.granted[name]
		}
	}
	free := max(1-others, 0)
	if wanted > held && min(wanted, free)-held < minChange {
		return min(held, free)
	}
	return min(wanted, free)
}

// wanted returns the share that a node should have.
func (d *Divider) wanted(h *holder, name string) float64 {
	sum := 0.0
	for _, o := range d.nodes {
		sum += o.demand[name]
	}
	even := 1 / float64(len(d.nodes))
	if sum <= 0 {
		return even
	}
	return evenShare*even + (1-evenShare)*h.demand[name]/sum
}
