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
	now         time.Time
	random      *rand.Rand
	nodes       map[string]*node
	byAddress   map[netip.AddrPort]*node
	inFlight    []datagram
	loss        float64
	duplication float64
	delay       time.Duration // maximum; datagrams may be reordered
	blocked     map[[2]string]bool
	packets     int
	bytesSent   map[string]int
}

type node struct {
	id          string
	incarnation uint64
	address     netip.AddrPort
	core        *Core
	up          bool
	paused      bool
	backlog     []datagram
}

type datagram struct {
	at   time.Time
	from messenger.Sender
	to   netip.AddrPort
	body []byte
}

func newNetwork(seed uint64) *network {
	return &network{
		now: time.Unix(1_700_000_000, 0), random: rand.New(rand.NewPCG(seed, 1)),
		nodes: make(map[string]*node), byAddress: make(map[netip.AddrPort]*node), blocked: make(map[[2]string]bool),
		delay: 20 * time.Millisecond, bytesSent: make(map[string]int),
	}
}

func addressOf(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000)
}

func idOf(i int) string { return fmt.Sprintf("n%03d", i) }

// start starts node i, or restarts it with a new incarnation.
func (w *network) start(i int, change func(*Settings)) *node {
	id := idOf(i)
	n, ok := w.nodes[id]
	if !ok {
		n = &node{id: id, address: addressOf(i)}
		w.nodes[id] = n
		w.byAddress[n.address] = n
	}
	n.incarnation++
	n.up, n.paused, n.backlog = true, false, nil
	s := Settings{
		ID: id, Incarnation: n.incarnation, Address: n.address, Domain: "d", Cell: "c", Roles: Entry,
		Seeds: []netip.AddrPort{addressOf(0), addressOf(1)}, RandomSeed: w.random.Uint64(),
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
		if n := w.nodes[id]; n.up && !n.paused {
			out = append(out, n)
		}
	}
	return out
}

// emit puts the datagrams that a node sends in flight.
func (w *network) emit(n *node, out *Output) {
	for _, e := range out.Messages() {
		w.packets++
		w.bytesSent[n.id] += len(e.Body()) + packetOverhead
		copies := 1
		if w.random.Float64() < w.duplication {
			copies = 2
		}
		for range copies {
			if w.random.Float64() < w.loss {
				continue
			}
			at := w.now.Add(time.Duration(w.random.Int64N(int64(w.delay))) + time.Millisecond)
			from := messenger.NewSender(n.id, n.incarnation, n.address)
			w.inFlight = append(w.inFlight, datagram{at: at, from: from, to: e.To(), body: e.Body()})
		}
	}
}

// step advances the time by one tick of a Gossiper.
func (w *network) step() {
	w.now = w.now.Add(tickInterval)
	slices.SortStableFunc(w.inFlight, func(a, b datagram) int { return a.at.Compare(b.at) })
	for len(w.inFlight) > 0 && !w.inFlight[0].at.After(w.now) {
		f := w.inFlight[0]
		w.inFlight = w.inFlight[1:]
		w.deliver(f)
	}
	for _, n := range w.running() {
		w.emit(n, n.core.Tick(w.now))
	}
}

func (w *network) deliver(f datagram) {
	n, ok := w.byAddress[f.to]
	if !ok || !n.up || w.blocked[[2]string{f.from.ID(), n.id}] {
		return
	}
	if n.paused {
		n.backlog = append(n.backlog, f)
		return
	}
	out, err := n.core.Step(f.from, f.body, w.now)
	if err != nil {
		panic(err)
	}
	w.emit(n, out)
}

// resume ends the pause of a node, which first receives its backlog.
func (w *network) resume(n *node) {
	n.paused = false
	backlog := n.backlog
	n.backlog = nil
	for _, f := range backlog {
		w.deliver(f)
	}
}

// runUntil steps until the condition holds. It returns the time that took, and
// whether the condition held within limit.
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

// complete reports whether all running nodes have the same view, in which they
// are all alive and nobody else is.
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
