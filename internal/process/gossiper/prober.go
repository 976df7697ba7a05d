package gossiper

import (
	"net/netip"
	"time"

	"hyssoprudder/internal/connection/messenger"
)

// probe is one probe that waits for an answer.
type probe struct {
	target   string
	sequence uint64
	started  time.Time
	relayed  bool
	answered bool
}

// probeResult is kept to judge whether this node is in touch with its peers.
type probeResult struct {
	at       time.Time
	target   string
	answered bool
}

// relayed is a probe that this node makes for another one.
type relayed struct {
	origin   netip.AddrPort
	sequence uint64
	target   string
	until    time.Time
}

// prober is the state of probing.
type prober struct {
	current  *probe
	sequence uint64
	round    []string
	results  []probeResult
	relayed  map[uint64]relayed
	roam     int // position among cell peers for digests
}

// probe drives the present probe and starts the next.
func (c *Core) probe(now time.Time) {
	p := &c.prober
	if p.current != nil {
		waited := now.Sub(p.current.started)
		if !p.current.answered && !p.current.relayed && waited >= c.timing.Timeout {
			p.current.relayed = true
			c.askRelays(now)
		}
		if waited < c.timing.Period {
			return
		}
		c.concludeProbe(now)
	}
	if target, ok := c.nextTarget(); ok {
		p.sequence++
		p.current = &probe{target: target, sequence: p.sequence, started: now}
		c.ping(c.members[target].record, now)
	}
}

// concludeProbe suspects the target if it did not answer.
func (c *Core) concludeProbe(now time.Time) {
	p := &c.prober
	done := p.current
	p.current = nil
	p.results = append(p.results, probeResult{at: done.started, target: done.target, answered: done.answered})
	if len(p.results) > probeLog {
		p.results = p.results[1:]
	}
	e, ok := c.members[done.target]
	if !ok || done.answered || e.record.Level != levelAlive || e.record.Phase == phaseLeft {
		return
	}
	r := e.record
	r.Level = levelSuspect
	c.store(r, now)
	c.spread(r)
}

// nextTarget walks over all live members in random order.
func (c *Core) nextTarget() (string, bool) {
	p := &c.prober
	for range 2 {
		for len(p.round) > 0 {
			id := p.round[0]
			p.round = p.round[1:]
			if e, ok := c.members[id]; ok && e.record.isLive() {
				return id, true
			}
		}
		p.round = c.peers(memberRecord.isLive)
		c.random.Shuffle(len(p.round), func(i, j int) { p.round[i], p.round[j] = p.round[j], p.round[i] })
	}
	return "", false
}

// peers returns the other members that satisfy a condition, in a fixed order.
func (c *Core) peers(wanted func(memberRecord) bool) []string {
	var out []string
	for _, id := range c.ids() {
		if id != c.settings.ID && wanted(c.members[id].record) {
			out = append(out, id)
		}
	}
	return out
}

// pick returns up to n random live members other than except.
func (c *Core) pick(n int, except string) []string {
	live := c.peers(func(r memberRecord) bool { return r.ID != except && r.isLive() })
	c.random.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	return live[:min(n, len(live))]
}

// ping sends the present probe. A target that is not thought alive is told so,
// that it may refute.
func (c *Core) ping(target memberRecord, now time.Time) {
	c.sendTo(target.Address, header{Kind: kindPing, Sequence: c.prober.sequence, Target: target.ID},
		c.doubtsAbout(target.ID), now)
}

// doubtsAbout returns the record of a member that is not thought alive.
func (c *Core) doubtsAbout(id string) []item {
	e, ok := c.members[id]
	if !ok || e.record.Level == levelAlive {
		return nil
	}
	return []item{{kind: itemMember, body: encodeRecord(e.record)}}
}

func (c *Core) askRelays(now time.Time) {
	current := c.prober.current
	e, ok := c.members[current.target]
	if !ok {
		return
	}
	h := header{
		Kind: kindRelay, Sequence: current.sequence,
		Target: current.target, Address: e.record.Address,
	}
	for _, id := range c.pick(relays, current.target) {
		c.sendTo(c.members[id].record.Address, h, nil, now)
	}
}

// relay probes a third node for the sender.
func (c *Core) relay(from messenger.Sender, h header, now time.Time) {
	p := &c.prober
	for sequence, r := range p.relayed {
		if now.After(r.until) {
			delete(p.relayed, sequence)
		}
	}
	if len(p.relayed) >= maxRelays || !h.Address.IsValid() {
		return
	}
	p.sequence++
	p.relayed[p.sequence] = relayed{
		origin: from.Address(), sequence: h.Sequence, target: h.Target, until: now.Add(c.timing.Period),
	}
	c.sendTo(h.Address, header{Kind: kindPing, Sequence: p.sequence, Target: h.Target}, c.doubtsAbout(h.Target), now)
}

func (c *Core) answerPing(from messenger.Sender, h header, now time.Time) {
	if h.Target != "" && h.Target != c.settings.ID {
		return
	}
	extra := c.doubtsAbout(from.ID())
	if h.Target == "" {
		extra = append(extra, item{kind: itemMember, body: encodeRecord(c.self())})
		for _, id := range c.pick(introductions, from.ID()) {
			extra = append(extra, item{kind: itemMember, body: encodeRecord(c.members[id].record)})
		}
	}
	c.sendTo(from.Address(), header{Kind: kindAck, Sequence: h.Sequence, Target: c.settings.ID}, extra, now)
	c.compare(from.Address(), h.Sum, now)
}

func (c *Core) acceptAck(from messenger.Sender, h header, now time.Time) {
	p := &c.prober
	if r, ok := p.relayed[h.Sequence]; ok && r.target == h.Target && from.ID() == h.Target {
		delete(p.relayed, h.Sequence)
		c.sendTo(r.origin, header{Kind: kindAck, Sequence: r.sequence, Target: r.target}, nil, now)
		return
	}
	if p.current != nil && p.current.sequence == h.Sequence && p.current.target == h.Target {
		p.current.answered = true
	}
	c.compare(from.Address(), h.Sum, now)
}

// isJoining reports whether this node knows few others and there seem to be
// more. It then asks for some to be named, rather than wait for seeds that may
// have many to serve.
func (c *Core) isJoining() bool {
	return len(c.members) == 1 || len(c.members) <= introductions && c.differs
}

// rediscover probes a seed or a dead member now and then: two halves of a
// deployment that lost each other find together again only this way.
func (c *Core) rediscover(now time.Time) {
	if now.Before(c.nextJoin) || c.self().Phase != phaseActive {
		return
	}
	c.nextJoin = now.Add(rediscoverPeriods * c.timing.Period)
	if c.isJoining() {
		c.nextJoin = now.Add(c.timing.Period)
	}
	target, items, ok := c.lostAddress()
	if known := c.pick(1, ""); c.isJoining() && len(known) > 0 {
		target, items, ok = c.members[known[0]].record.Address, nil, true
	}
	if !ok {
		return
	}
	items = append(items, item{kind: itemMember, body: encodeRecord(c.self())})
	c.sendTo(target, header{Kind: kindPing}, items, now)
}

// lostAddress picks a dead member or a seed at whose address no live member is
// known. It returns the record of the dead member too, that it may refute.
func (c *Core) lostAddress() (netip.AddrPort, []item, bool) {
	known := make(map[netip.AddrPort]bool)
	for _, e := range c.members {
		if e.record.isLive() {
			known[e.record.Address] = true
		}
	}
	var addresses []netip.AddrPort
	doubts := make(map[netip.AddrPort][]item)
	for _, id := range c.peers(func(r memberRecord) bool { return r.state() == Dead && !known[r.Address] }) {
		address := c.members[id].record.Address
		if doubts[address] == nil {
			addresses = append(addresses, address)
		}
		if len(doubts[address]) < maxDoubts {
			doubts[address] = append(doubts[address], c.doubtsAbout(id)...)
		}
	}
	for _, seed := range c.seeds {
		if !known[seed] && doubts[seed] == nil {
			addresses = append(addresses, seed)
		}
	}
	if len(addresses) == 0 {
		return netip.AddrPort{}, nil, false
	}
	target := addresses[c.random.IntN(len(addresses))]
	return target, doubts[target], true
}

// Contact tells how far a node is in touch with its peers.
type Contact struct {
	peers    int
	live     int
	probed   int
	answered int
}

// Peers returns the number of other members that have not left.
func (c Contact) Peers() int { return c.peers }

// HasMost reports whether this node and the peers that are thought alive are
// the majority, and likewise among those that were probed lately.
func (c Contact) HasMost() bool {
	return isMajority(c.live, c.peers) && c.probed > 0 && isMajority(c.answered, c.probed)
}

// isMajority reports whether this node with some of its peers is more than
// half of this node with all of them.
func isMajority(some, all int) bool { return 2*(some+1) > all+1 }

// Contact returns how far this node was in touch within the last bound. Members
// that died lately, or while this node was out of touch, count as peers.
func (c *Core) Contact(now time.Time, bound time.Duration) Contact {
	var out Contact
	for id, e := range c.members {
		s := e.record.state()
		if id == c.settings.ID || s == Left || s == Dead && time.Unix(e.record.At, 0).Before(c.writtenOff) {
			continue
		}
		out.peers++
		if s == Alive || s == Leaving {
			out.live++
		}
	}
	latest := make(map[string]bool)
	for _, r := range c.prober.results {
		if now.Sub(r.at) <= bound {
			latest[r.target] = r.answered
		}
	}
	for _, answered := range latest {
		out.probed++
		if answered {
			out.answered++
		}
	}
	return out
}
