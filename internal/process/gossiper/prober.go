package gossiper

import (
	"net/netip"
	"time"

	"hyssoprudder/internal/connection/messenger"
)

// probe is the probe that this node currently waits for.
type probe struct {
	target            string
	sequence          uint64
	started           time.Time
	indirectRequested bool
	answered          bool
}

// probeResult is the outcome of a probe; Contact evaluates the latest ones.
type probeResult struct {
	at       time.Time
	target   string
	answered bool
}

// indirectProbe is a probe that this node makes for another node.
type indirectProbe struct {
	origin   netip.AddrPort
	sequence uint64
	target   string
	until    time.Time
}

// prober is the probing state of a Core.
type prober struct {
	current      *probe
	sequence     uint64
	probeOrder   []string
	results      []probeResult
	indirect     map[uint64]indirectProbe
	digestCursor int // position among the cell's peers for sending digests
}

// probe advances the current probe, and starts the next one after each period.
func (c *Core) probe(now time.Time) {
	p := &c.prober
	if p.current != nil {
		waited := now.Sub(p.current.started)
		if !p.current.answered && !p.current.indirectRequested && waited >= c.timing.ProbeTimeout {
			p.current.indirectRequested = true
			c.requestIndirectProbes(now)
		}
		if waited < c.timing.ProbeInterval {
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

// concludeProbe records the result of the current probe and suspects the target
// if it did not answer.
func (c *Core) concludeProbe(now time.Time) {
	p := &c.prober
	finished := p.current
	p.current = nil
	p.results = append(p.results, probeResult{at: finished.started, target: finished.target, answered: finished.answered})
	if len(p.results) > maxProbeResults {
		p.results = p.results[1:]
	}
	e, ok := c.members[finished.target]
	if !ok || finished.answered || e.record.Level != levelAlive || e.record.Phase == phaseLeft {
		return
	}
	r := e.record
	r.Level = levelSuspect
	c.store(r, now)
	c.spread(r)
}

// nextTarget returns the next member to probe. Each live member is probed once
// per round, in random order.
func (c *Core) nextTarget() (string, bool) {
	p := &c.prober
	for range 2 {
		for len(p.probeOrder) > 0 {
			id := p.probeOrder[0]
			p.probeOrder = p.probeOrder[1:]
			if e, ok := c.members[id]; ok && e.record.isLive() {
				return id, true
			}
		}
		p.probeOrder = c.peers(memberRecord.isLive)
		c.random.Shuffle(len(p.probeOrder), func(i, j int) { p.probeOrder[i], p.probeOrder[j] = p.probeOrder[j], p.probeOrder[i] })
	}
	return "", false
}

// peers returns the other members that satisfy a condition, sorted by identity.
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

// ping sends the current probe. A target that is not believed alive gets its
// record along, so that it can refute it.
func (c *Core) ping(target memberRecord, now time.Time) {
	c.sendTo(target.Address, header{Kind: kindPing, Sequence: c.prober.sequence, Target: target.ID},
		c.refutableRecord(target.ID), now)
}

// refutableRecord returns the record of a member that is suspect or dead, for
// the member to refute, or nothing.
func (c *Core) refutableRecord(id string) []item {
	e, ok := c.members[id]
	if !ok || e.record.Level == levelAlive {
		return nil
	}
	return []item{{kind: itemMember, body: encodeRecord(e.record)}}
}

func (c *Core) requestIndirectProbes(now time.Time) {
	current := c.prober.current
	e, ok := c.members[current.target]
	if !ok {
		return
	}
	h := header{
		Kind: kindProbeRequest, Sequence: current.sequence,
		Target: current.target, Address: e.record.Address,
	}
	for _, id := range c.pick(indirectProbers, current.target) {
		c.sendTo(c.members[id].record.Address, h, nil, now)
	}
}

// probeFor probes a third node for the sender.
func (c *Core) probeFor(from messenger.Sender, h header, now time.Time) {
	p := &c.prober
	for sequence, r := range p.indirect {
		if now.After(r.until) {
			delete(p.indirect, sequence)
		}
	}
	if len(p.indirect) >= maxIndirectProbes || !h.Address.IsValid() {
		return
	}
	p.sequence++
	p.indirect[p.sequence] = indirectProbe{
		origin: from.Address(), sequence: h.Sequence, target: h.Target, until: now.Add(c.timing.ProbeInterval),
	}
	c.sendTo(h.Address, header{Kind: kindPing, Sequence: p.sequence, Target: h.Target}, c.refutableRecord(h.Target), now)
}

func (c *Core) answerPing(from messenger.Sender, h header, now time.Time) {
	if h.Target != "" && h.Target != c.settings.ID {
		return
	}
	items := c.refutableRecord(from.ID())
	if h.Target == "" {
		items = append(items, item{kind: itemMember, body: encodeRecord(c.self())})
		for _, id := range c.pick(maxIntroduced, from.ID()) {
			items = append(items, item{kind: itemMember, body: encodeRecord(c.members[id].record)})
		}
	}
	c.sendTo(from.Address(), header{Kind: kindAck, Sequence: h.Sequence, Target: c.settings.ID}, items, now)
	c.compare(from.Address(), h.Sum, now)
}

func (c *Core) acceptAck(from messenger.Sender, h header, now time.Time) {
	p := &c.prober
	if r, ok := p.indirect[h.Sequence]; ok && r.target == h.Target && from.ID() == h.Target {
		delete(p.indirect, h.Sequence)
		c.sendTo(r.origin, header{Kind: kindAck, Sequence: r.sequence, Target: r.target}, nil, now)
		return
	}
	if p.current != nil && p.current.sequence == h.Sequence && p.current.target == h.Target {
		p.current.answered = true
	}
	c.compare(from.Address(), h.Sum, now)
}

// isJoining reports whether this node knows few members and there are probably
// more. It then requests members from any node that it knows, because the seeds
// may be busy with many joining nodes.
func (c *Core) isJoining() bool {
	return len(c.members) == 1 || len(c.members) <= maxIntroduced && c.viewDiffers
}

// rediscover regularly probes a seed or a dead member. After a network
// partition, the two halves of a deployment find each other only this way.
func (c *Core) rediscover(now time.Time) {
	if now.Before(c.nextJoin) || c.self().Phase != phaseActive {
		return
	}
	c.nextJoin = now.Add(rediscoverPeriods * c.timing.ProbeInterval)
	if c.isJoining() {
		c.nextJoin = now.Add(c.timing.ProbeInterval)
	}
	target, items, ok := c.rediscoveryTarget()
	if known := c.pick(1, ""); c.isJoining() && len(known) > 0 {
		target, items, ok = c.members[known[0]].record.Address, nil, true
	}
	if !ok {
		return
	}
	items = append(items, item{kind: itemMember, body: encodeRecord(c.self())})
	c.sendTo(target, header{Kind: kindPing}, items, now)
}

// rediscoveryTarget picks the address of a dead member or of a seed at which no
// live member is known. It also returns the records of dead members at that
// address, so that they can refute them.
func (c *Core) rediscoveryTarget() (netip.AddrPort, []item, bool) {
	known := make(map[netip.AddrPort]bool)
	for _, e := range c.members {
		if e.record.isLive() {
			known[e.record.Address] = true
		}
	}
	var addresses []netip.AddrPort
	refutable := make(map[netip.AddrPort][]item)
	for _, id := range c.peers(func(r memberRecord) bool { return r.state() == Dead && !known[r.Address] }) {
		address := c.members[id].record.Address
		if refutable[address] == nil {
			addresses = append(addresses, address)
		}
		if len(refutable[address]) < maxDeadRecords {
			refutable[address] = append(refutable[address], c.refutableRecord(id)...)
		}
	}
	for _, seed := range c.seeds {
		if !known[seed] && refutable[seed] == nil {
			addresses = append(addresses, seed)
		}
	}
	if len(addresses) == 0 {
		return netip.AddrPort{}, nil, false
	}
	target := addresses[c.random.IntN(len(addresses))]
	return target, refutable[target], true
}

// Contact holds how many peers a node believes alive and how many answered
// recent probes.
type Contact struct {
	peers    int
	live     int
	probed   int
	answered int
}

// Peers returns the number of other members that have not left.
func (c Contact) Peers() int { return c.peers }

// HasMajority reports whether this node has contact to a majority of the nodes.
// The peers that it believes alive must be a majority of all peers, and the
// recently probed peers that answered a majority of those probed, with this node
// counted each time. Without a recent probe there is no majority.
func (c Contact) HasMajority() bool {
	return isMajority(c.live, c.peers) && c.probed > 0 && isMajority(c.answered, c.probed)
}

// isMajority reports whether this node plus some of its peers are more than
// half of this node plus all of them.
func isMajority(some, all int) bool { return 2*(some+1) > all+1 }

// Contact returns the contact of this node with its peers, counting the probes
// that started within the window before now. Members that died recently, or
// while this node had no contact to a majority, count as peers.
func (c *Core) Contact(now time.Time, window time.Duration) Contact {
	var out Contact
	for id, e := range c.members {
		s := e.record.state()
		if id == c.settings.ID || s == Left || s == Dead && time.Unix(e.record.At, 0).Before(c.deadCutoff) {
			continue
		}
		out.peers++
		if s == Alive || s == Leaving {
			out.live++
		}
	}
	latest := make(map[string]bool)
	for _, r := range c.prober.results {
		if now.Sub(r.at) <= window {
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
