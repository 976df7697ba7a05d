package gossiper

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/vmihailenco/msgpack/v5"

	"hyssoprudder/internal/connection/messenger"
)

// Timing holds the intervals and limits of the protocol. A zero field takes
// the value of DefaultTiming.
type Timing struct {
	// ProbeInterval is the time between two probes.
	ProbeInterval time.Duration
	// ProbeTimeout is how long a probe waits for an answer before other nodes are
	// asked to probe the target too.
	ProbeTimeout time.Duration
	// GossipInterval is the time between two rounds of gossip.
	GossipInterval time.Duration
	// DigestInterval is the time between two rounds of digests.
	DigestInterval time.Duration
	// MinSyncInterval is the minimum time between two comparisons of whole views.
	MinSyncInterval time.Duration
	// Retention is how long leaving marks, and members that left or died, are
	// kept.
	Retention time.Duration
	// Rate limits what a node sends on average, in bytes per second with all
	// headers. Probes and their answers are always sent, but count
	// against the limit.
	Rate int
	// Burst limits what a node sends at once, in bytes.
	Burst int
}

// DefaultTiming returns the timing for a deployment in a few failure domains.
func DefaultTiming() Timing {
	return Timing{
		ProbeInterval:   time.Second,
		ProbeTimeout:    300 * time.Millisecond,
		GossipInterval:  200 * time.Millisecond,
		DigestInterval:  time.Second,
		MinSyncInterval: 2 * time.Second,
		Retention:       24 * time.Hour,
		Rate:            4 << 10,
		Burst:           128 << 10,
	}
}

const (
	fanout              = 2 // receivers of each gossip message
	maxMessagesPerRound = 8 // maximum distinct gossip messages in one round
	indirectProbers     = 3 // nodes asked to probe a target that does not answer
	digestFanout        = 8 // receivers of a round of digests
	suspicionPeriods    = 4 // probe periods for each power of ten of members
	rediscoverPeriods   = 3 // probe periods between probes of dead members or seeds
	maxSyncMessages     = 8
	maxIndirectProbes   = 256
	maxIntroduced       = 6 // member records sent to a node that joins
	maxDeadRecords      = 4 // dead members listed in one probe of an address
	maxProbeResults     = 64
	sweepInterval       = 10 * time.Second
	// deadMemberWindow is how long a dead member still counts as an unreachable peer.
	deadMemberWindow = 10 * time.Minute
)

// Settings configures a Core.
type Settings struct {
	ID          string
	Incarnation uint64
	Address     netip.AddrPort
	Domain      string
	Cell        string
	Roles       Roles
	// Seeds are the addresses through which the node joins.
	Seeds  []netip.AddrPort
	Timing Timing
	// RandomSeed initializes the random generator that picks peers.
	RandomSeed uint64
}

// memberEntry is a member's record with the state that only this node keeps.
type memberEntry struct {
	record       memberRecord
	suspectUntil time.Time
}

// Core is the membership protocol as a state machine: its input is messages
// and the time, its output messages and changes. It is not safe for concurrent
// use.
type Core struct {
	settings  Settings
	timing    Timing
	random    *rand.Rand
	members   map[string]*memberEntry // by identity, including this node
	byHash    map[uint64]string       // incarnationKey to identity
	sortedIDs []string                // sorted identities; nil if out of date
	marks     map[string]markRecord
	sums      sums
	rumours   *rumours
	digests   *digestTable
	budget    *budget
	newest    Revision
	prober    prober
	seeds     []netip.AddrPort
	out       *Output

	lastTick    time.Time
	nextGossip  time.Time
	nextDigest  time.Time
	nextJoin    time.Time
	nextSweep   time.Time
	lastSync    time.Time
	viewDiffers bool      // whether the last peer compared had a different view
	deadCutoff  time.Time // members that died before this no longer count as peers
}

// NewCore returns the state machine of a node whose view holds only itself.
func NewCore(s Settings, now time.Time) *Core {
	c := &Core{
		settings: s, timing: withDefaults(s.Timing),
		random:  rand.New(rand.NewPCG(s.RandomSeed, xxhash.Sum64String(s.ID))),
		members: make(map[string]*memberEntry), byHash: make(map[uint64]string),
		marks: make(map[string]markRecord), rumours: newRumours(), digests: newDigestTable(),
		seeds: s.Seeds, out: new(Output), lastTick: now,
	}
	c.prober.indirect = make(map[uint64]indirectProbe)
	c.prober.sequence = uint64(c.random.Uint32())
	c.budget = newBudget(c.timing.Rate, c.timing.Burst, now)
	c.store(memberRecord{
		ID: s.ID, Incarnation: s.Incarnation, Address: s.Address,
		Domain: s.Domain, Cell: s.Cell, Roles: uint8(s.Roles),
	}, now)
	return c
}

func withDefaults(t Timing) Timing {
	d := DefaultTiming()
	return Timing{
		ProbeInterval: cmp.Or(t.ProbeInterval, d.ProbeInterval), ProbeTimeout: cmp.Or(t.ProbeTimeout, d.ProbeTimeout),
		GossipInterval: cmp.Or(t.GossipInterval, d.GossipInterval), DigestInterval: cmp.Or(t.DigestInterval, d.DigestInterval),
		MinSyncInterval: cmp.Or(t.MinSyncInterval, d.MinSyncInterval), Retention: cmp.Or(t.Retention, d.Retention),
		Rate: cmp.Or(t.Rate, d.Rate), Burst: cmp.Or(t.Burst, d.Burst),
	}
}

func (c *Core) self() memberRecord { return c.members[c.settings.ID].record }

// finish returns the output collected by the step and starts a new one.
func (c *Core) finish() *Output {
	out := c.out
	c.out = new(Output)
	return out
}

// incarnationKey returns an eight-byte hash that identifies one incarnation of
// a member.
func incarnationKey(r memberRecord) uint64 {
	return xxhash.Sum64(binary.BigEndian.AppendUint64([]byte(r.ID), r.Incarnation))
}

// store replaces the record of a member and updates sums and indexes.
func (c *Core) store(r memberRecord, now time.Time) {
	e, known := c.members[r.ID]
	if !known {
		e = new(memberEntry)
		c.members[r.ID] = e
		c.sortedIDs = nil
	} else {
		c.sums.toggle(r.ID, encodeRecord(e.record))
		delete(c.byHash, incarnationKey(e.record))
	}
	old := e.record
	e.record = r
	c.byHash[incarnationKey(r)] = r.ID
	c.sums.toggle(r.ID, encodeRecord(r))
	newSuspicion := !known || old.Level != levelSuspect || old.Refutation != r.Refutation || old.Incarnation != r.Incarnation
	if r.Level == levelSuspect && newSuspicion {
		e.suspectUntil = now.Add(c.suspicionTimeout())
	}
	if !known || old.state() != r.state() || old.Incarnation != r.Incarnation {
		c.out.members = append(c.out.members, Member{record: r})
	}
	if old.Cell != r.Cell || r.state() != old.state() {
		c.digests.retainCell(c.members, c.settings.Cell)
	}
}

func (c *Core) evict(id string) {
	r := c.members[id].record
	c.sums.toggle(id, encodeRecord(r))
	delete(c.byHash, incarnationKey(r))
	delete(c.members, id)
	c.sortedIDs = nil
}

// suspicionTimeout returns how long a suspect has to refute. It grows with the
// logarithm of the number of members, as does the time for a rumour to spread.
func (c *Core) suspicionTimeout() time.Duration {
	factor := suspicionPeriods
	for n := 10; n <= len(c.members); n *= 10 {
		factor += suspicionPeriods
	}
	return time.Duration(factor) * c.timing.ProbeInterval
}

// apply merges a received record into the view and spreads it if it changed
// the view.
func (c *Core) apply(r memberRecord, now time.Time) {
	if r.ID == c.settings.ID {
		c.applySelf(r, now)
		return
	}
	merged := r
	if e, ok := c.members[r.ID]; ok {
		merged = mergeRecords(e.record, r)
		if merged == e.record {
			return
		}
	} else if r.isExpired(now, c.timing.Retention) {
		return
	}
	withOldRevision := merged
	if e, ok := c.members[r.ID]; ok {
		withOldRevision.ActiveRevision = e.record.ActiveRevision
	}
	onlyRevision := c.members[r.ID] != nil && withOldRevision == c.members[r.ID].record
	c.store(merged, now)
	if onlyRevision {
		c.spreadActiveRevision(merged)
	} else {
		c.spread(merged)
	}
}

// applySelf handles a record about this node: it refutes a suspicion or a death
// report, and a higher incarnation means that this process is superseded.
func (c *Core) applySelf(r memberRecord, now time.Time) {
	own := c.self()
	if r.Incarnation > own.Incarnation {
		c.out.superseded = true
		return
	}
	if r.Incarnation < own.Incarnation {
		return
	}
	merged := mergeRecords(own, r)
	if merged.Level != levelAlive && merged.Phase != phaseLeft {
		merged.Refutation++
		merged.Level = levelAlive
	}
	if merged != own {
		c.store(merged, now)
		c.spread(merged)
	}
}

// spread queues the whole record of a member as a rumour.
func (c *Core) spread(r memberRecord) {
	class := classMember
	if r.Phase != phaseActive {
		class = classUrgent
	}
	c.rumours.add("member "+r.ID, class, item{kind: itemMember, body: encodeRecord(r)})
}

func (c *Core) spreadActiveRevision(r memberRecord) {
	body := encodeRecord(activeRecord{Member: incarnationKey(r), Number: r.ActiveRevision})
	c.rumours.add("running "+r.ID, classActiveRevision, item{kind: itemActiveRevision, body: body})
}

// applyActiveRevision merges the revision that a member has in force.
func (c *Core) applyActiveRevision(r activeRecord, now time.Time) {
	id, ok := c.byHash[r.Member]
	if !ok || id == c.settings.ID {
		return
	}
	record := c.members[id].record
	record.ActiveRevision = max(record.ActiveRevision, r.Number)
	c.apply(record, now)
}

// applyMark merges a leaving mark. Marks are never withdrawn; a later
// incarnation of the endpoint is not covered by the mark.
func (c *Core) applyMark(m markRecord, now time.Time) {
	if now.Sub(time.Unix(m.At, 0)) > c.timing.Retention {
		return
	}
	old, known := c.marks[m.Endpoint]
	merged := m
	if known {
		merged.Incarnation = max(m.Incarnation, old.Incarnation)
		merged.At = max(m.At, old.At)
		if merged == old {
			return
		}
		c.sums.toggle(m.Endpoint, encodeRecord(old))
	}
	c.marks[m.Endpoint] = merged
	encoded := encodeRecord(merged)
	c.sums.toggle(m.Endpoint, encoded)
	c.rumours.add("mark "+m.Endpoint, classUrgent, item{kind: itemMark, body: encoded})
	if !known || merged.Incarnation != old.Incarnation {
		c.out.marks = append(c.out.marks, Mark{record: merged})
	}
}

// acceptRevision stores r if it is newer than the newest known revision.
func (c *Core) acceptRevision(r Revision) {
	if r.Number <= c.newest.Number {
		return
	}
	c.newest = r
	c.out.newest, c.out.hasNewest = r, true
	// The item is empty, because the header of each message carries the revision.
	// The rumour only makes messages go out early.
	c.rumours.add("newest", classUrgent, item{})
}

// Step processes a datagram from an authenticated sender. It returns the
// resulting output, and an error if the datagram can't be decoded.
func (c *Core) Step(from messenger.Sender, body []byte, now time.Time) (*Output, error) {
	h, items, err := decodeMessage(body)
	if err != nil {
		return c.finish(), err
	}
	c.acceptRevision(h.Newest)
	for _, i := range items {
		if err := c.applyItem(from, h, i, now); err != nil {
			return c.finish(), err
		}
	}
	switch h.Kind {
	case kindPing:
		c.answerPing(from, h, now)
	case kindAck:
		c.acceptAck(from, h, now)
	case kindProbeRequest:
		c.probeFor(from, h, now)
	}
	return c.finish(), nil
}

func (c *Core) applyItem(from messenger.Sender, h header, i item, now time.Time) error {
	switch i.kind {
	case itemMember:
		return decodeTo(i.body, now, c.apply)
	case itemMark:
		return decodeTo(i.body, now, c.applyMark)
	case itemActiveRevision:
		return decodeTo(i.body, now, c.applyActiveRevision)
	case itemDigest:
		var d digestRecord
		if err := msgpack.Unmarshal(i.body, &d); err != nil {
			return fmt.Errorf("%w: digest: %w", errMalformed, err)
		}
		if e, ok := c.members[from.ID()]; ok && e.record.Cell == c.settings.Cell {
			c.digests.apply(from.ID(), from.Incarnation(), d)
		}
		return nil
	case itemSums:
		return c.answerSync(from, h, i.body, now)
	default:
		return nil
	}
}

// decodeTo decodes a record and applies it.
func decodeTo[T any](body []byte, now time.Time, apply func(T, time.Time)) error {
	var record T
	if err := msgpack.Unmarshal(body, &record); err != nil {
		return fmt.Errorf("%w: %T: %w", errMalformed, record, err)
	}
	apply(record, now)
	return nil
}

// Tick performs the timed actions that are due at now.
func (c *Core) Tick(now time.Time) *Output {
	c.compensatePause(now)
	c.lastTick = now
	c.sweep(now)
	c.expireSuspicions(now)
	c.probe(now)
	c.rediscover(now)
	c.sendRumours(now)
	c.sendDigests(now)
	return c.finish()
}

// compensatePause discards the current probe and extends suspicions after this
// process did not run for more than a probe period, so that its own pause is not
// taken for a failure of other members.
func (c *Core) compensatePause(now time.Time) {
	gap := now.Sub(c.lastTick)
	if gap <= c.timing.ProbeInterval {
		return
	}
	c.prober.current = nil
	for _, e := range c.members {
		e.suspectUntil = e.suspectUntil.Add(gap)
	}
}

// expireSuspicions declares suspects dead that did not refute in time.
func (c *Core) expireSuspicions(now time.Time) {
	var overdue []string
	for id, e := range c.members {
		if e.record.Level == levelSuspect && e.record.Phase != phaseLeft && now.After(e.suspectUntil) {
			overdue = append(overdue, id)
		}
	}
	slices.Sort(overdue)
	for _, id := range overdue {
		r := c.members[id].record
		r.Level = levelDead
		r.At = max(r.At, now.Unix())
		c.store(r, now)
		c.spread(r)
	}
}

// ids returns the sorted identities. The slice must not be changed.
func (c *Core) ids() []string {
	if len(c.sortedIDs) != len(c.members) {
		c.sortedIDs = make([]string, 0, len(c.members))
		for id := range c.members {
			c.sortedIDs = append(c.sortedIDs, id)
		}
		slices.Sort(c.sortedIDs)
	}
	return c.sortedIDs
}

// sweep evicts members and marks whose retention has passed, and stops counting
// members as peers that died long ago. While this node lacks contact to a
// majority, it does neither to members: they must still count for it to detect
// the loss of contact.
func (c *Core) sweep(now time.Time) {
	if now.Before(c.nextSweep) {
		return
	}
	c.nextSweep = now.Add(sweepInterval)
	if c.Contact(now, sweepInterval).HasMajority() {
		c.deadCutoff = now.Add(-deadMemberWindow)
		for _, id := range c.ids() {
			if c.members[id].record.isExpired(now, c.timing.Retention) {
				c.evict(id)
			}
		}
	}
	for endpoint, m := range c.marks {
		if now.Sub(time.Unix(m.At, 0)) > c.timing.Retention {
			c.sums.toggle(endpoint, encodeRecord(m))
			delete(c.marks, endpoint)
		}
	}
}
