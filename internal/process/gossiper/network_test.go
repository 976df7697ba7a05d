package gossiper

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"hyssoprudder/internal/connection/messenger"
)

// network carries datagrams between state machines in simulated time.
type network struct {
	now       time.Time
	random    *rand.Rand
	nodes     map[string]*node
	byAddress map[netip.AddrPort]*node
	flying    []flying
	loss      float64
	repeat    float64
	delay     time.Duration // at most; datagrams overtake each other
	cut       map[[2]string]bool
	packets   int
	bytesSent map[string]int
}

type node struct {
	id          string
	incarnation uint64
	address     netip.AddrPort
	core        *Core
	up          bool
	frozen      bool
	backlog     []flying
}

type flying struct {
	at   time.Time
	from messenger.Sender
	to   netip.AddrPort
	body []byte
}

func newNetwork(seed uint64) *network {
	return &network{
		now: time.Unix(1_700_000_000, 0), random: rand.New(rand.NewPCG(seed, 1)),
		nodes: make(map[string]*node), byAddress: make(map[netip.AddrPort]*node), cut: make(map[[2]string]bool),
		delay: 20 * time.Millisecond, bytesSent: make(map[string]int),
	}
}

func addressOf(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000)
}

func idOf(i int) string { return fmt.Sprintf("n%03d", i) }

// start starts node i, or starts it again as a new incarnation.
func (w *network) start(i int, change func(*Settings)) *node {
	id := idOf(i)
	n, ok := w.nodes[id]
	if !ok {
		n = &node{id: id, address: addressOf(i)}
		w.nodes[id] = n
		w.byAddress[n.address] = n
	}
	n.incarnation++
	n.up, n.frozen, n.backlog = true, false, nil
	s := Settings{
		ID: id, Incarnation: n.incarnation, Address: n.address, Domain: "d", Cell: "c", Roles: Entry,
		Seeds: []netip.AddrPort{addressOf(0), addressOf(1)}, Seed: w.random.Uint64(),
	}
	if change != nil {
		change(&s)
	}
	n.core = NewCore(s, w.now)
	return n
}

func (w *network) ids() []string {
	var ids []string
	for id := range w.nodes {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (w *network) running() []*node {
	var out []*node
	for _, id := range w.ids() {
		if n := w.nodes[id]; n.up && !n.frozen {
			out = append(out, n)
		}
	}
	return out
}

// emit puts what a node sends on its way.
func (w *network) emit(n *node, out *Output) {
	for _, e := range out.Messages() {
		w.packets++
		w.bytesSent[n.id] += len(e.Body()) + packetOverhead
		copies := 1
		if w.random.Float64() < w.repeat {
			copies = 2
		}
		for range copies {
			if w.random.Float64() < w.loss {
				continue
			}
			at := w.now.Add(time.Duration(w.random.Int64N(int64(w.delay))) + time.Millisecond)
			from := messenger.NewSender(n.id, n.incarnation, n.address)
			w.flying = append(w.flying, flying{at: at, from: from, to: e.To(), body: e.Body()})
		}
	}
}

// step moves the time on by one tick of the adapter.
func (w *network) step() {
	w.now = w.now.Add(tickInterval)
	slices.SortStableFunc(w.flying, func(a, b flying) int { return a.at.Compare(b.at) })
	for len(w.flying) > 0 && !w.flying[0].at.After(w.now) {
		f := w.flying[0]
		w.flying = w.flying[1:]
		w.deliver(f)
	}
	for _, n := range w.running() {
		w.emit(n, n.core.Tick(w.now))
	}
}

func (w *network) deliver(f flying) {
	n, ok := w.byAddress[f.to]
	if !ok || !n.up || w.cut[[2]string{f.from.ID(), n.id}] {
		return
	}
	if n.frozen {
		n.backlog = append(n.backlog, f)
		return
	}
	out, err := n.core.Step(f.from, f.body, w.now)
	if err != nil {
		panic(err)
	}
	w.emit(n, out)
}

// thaw lets a frozen node go on; it first reads what arrived meanwhile.
func (w *network) thaw(n *node) {
	n.frozen = false
	backlog := n.backlog
	n.backlog = nil
	for _, f := range backlog {
		w.deliver(f)
	}
}

// runUntil steps until a condition holds, and reports whether it did in time.
func (w *network) runUntil(limit time.Duration, holds func() bool) (time.Duration, bool) {
	start := w.now
	for w.now.Sub(start) < limit {
		if holds() {
			return w.now.Sub(start), true
		}
		w.step()
	}
	return limit, holds()
}

func (w *network) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.step()
	}
}

// agreed reports whether all running nodes have the same view.
func (w *network) agreed() bool {
	nodes := w.running()
	for _, n := range nodes {
		if n.core.sums != nodes[0].core.sums {
			return false
		}
	}
	return true
}

// complete reports whether each running node sees each other alive, and
// nothing else.
func (w *network) complete() bool {
	nodes := w.running()
	for _, n := range nodes {
		alive := 0
		for _, m := range n.core.Members() {
			if m.State() == Alive && w.nodes[m.ID()].incarnation == m.Incarnation() {
				alive++
			}
		}
		if alive != len(nodes) {
			return false
		}
	}
	return w.agreed()
}
