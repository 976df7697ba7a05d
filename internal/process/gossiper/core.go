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
	// Period is the time between two probes.
	Period time.Duration
	// Timeout is how long a probe waits before others are asked to probe too.
	Timeout time.Duration
	// Gossip is the time between two rounds of rumours.
	Gossip time.Duration
	// Digest is the time between two rounds of digests.
	Digest time.Duration
	// Sync is the least time between two comparisons of whole views.
	Sync time.Duration
	// Retention is how long members that left or died, and leaving marks, are
	// remembered.
	Retention time.Duration
	// Rate bounds what a node sends on average, in bytes per second with all
	// headers. Probes and their answers always go out, but count.
	Rate int
	// Burst bounds what a node sends at once, in bytes.
	Burst int
}

// DefaultTiming returns the timing for instances in a few failure domains.
func DefaultTiming() Timing {
	return Timing{
		Period:    time.Second,
		Timeout:   300 * time.Millisecond,
		Gossip:    200 * time.Millisecond,
		Digest:    time.Second,
		Sync:      2 * time.Second,
		Retention: 24 * time.Hour,
		Rate:      4 << 10,
		Burst:     128 << 10,
	}
}

const (
	fanout            = 2 // receivers of a round of rumours
	urgentMessages    = 8 // messages to each of them at most
	relays            = 3 // nodes asked to probe a silent one
	digestFanout      = 8 // receivers of a round of digests
	suspicionPeriods  = 4 // periods for each power of ten of members
	rediscoverPeriods = 3 // periods between probes of dead members or seeds
	maxSyncMessages   = 8
	maxRelays         = 256
	introductions     = 6 // members named to a node that joins
	maxDoubts         = 4 // dead members named in one probe of an address
	probeLog          = 64
	sweepInterval     = 10 * time.Second
	// mourning is how long a dead member counts as a peer out of touch.
	mourning = 10 * time.Minute
)

// Settings holds what NewCore makes a state machine from.
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
	// Seed starts the generator that picks peers.
	Seed uint64
}

// entry is one member with what only this node knows of it.
type entry struct {
	record       memberRecord
	suspectUntil time.Time
}

// Core is the membership protocol as a state machine: it takes messages and
// times and returns messages and changes. It is not safe for concurrent use.
type Core struct {
	settings Settings
	timing   Timing
	random   *rand.Rand
	members  map[string]*entry // with this node itself
	byHash   map[uint64]string // runningKey to identity
	ordered  []string          // identities in order, or nil
	marks    map[string]markRecord
	sums     sums
	rumours  *rumours
	digests  *digestTable
	budget   *budget
	newest   Revision
	prober   prober
	seeds    []netip.AddrPort
	out      *Output

	lastTick   time.Time
	nextGossip time.Time
	nextDigest time.Time
	nextJoin   time.Time
	nextSweep  time.Time
	lastSync   time.Time
	differs    bool      // whether the view of the peer last heard differed
	writtenOff time.Time // members that died before no longer count as peers
}

// NewCore returns the state machine of a node that knows only itself.
func NewCore(s Settings, now time.Time) *Core {
	c := &Core{
		settings: s, timing: withDefaults(s.Timing),
		random:  rand.New(rand.NewPCG(s.Seed, xxhash.Sum64String(s.ID))),
		members: make(map[string]*entry), byHash: make(map[uint64]string),
		marks: make(map[string]markRecord), rumours: newRumours(), digests: newDigestTable(),
		seeds: s.Seeds, out: new(Output), lastTick: now,
	}
	c.prober.relayed = make(map[uint64]relayed)
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
		Period: cmp.Or(t.Period, d.Period), Timeout: cmp.Or(t.Timeout, d.Timeout),
		Gossip: cmp.Or(t.Gossip, d.Gossip), Digest: cmp.Or(t.Digest, d.Digest),
		Sync: cmp.Or(t.Sync, d.Sync), Retention: cmp.Or(t.Retention, d.Retention),
		Rate: cmp.Or(t.Rate, d.Rate), Burst: cmp.Or(t.Burst, d.Burst),
	}
}

func (c *Core) self() memberRecord { return c.members[c.settings.ID].record }

// finish returns what the step brought about.
func (c *Core) finish() *Output {
	out := c.out
	c.out = new(Output)
	return out
}

// runningKey identifies one incarnation of a member in eight bytes.
func runningKey(r memberRecord) uint64 {
	return xxhash.Sum64(binary.BigEndian.AppendUint64([]byte(r.ID), r.Incarnation))
}

// store replaces the record of a member and keeps sums and indexes in step.
func (c *Core) store(r memberRecord, now time.Time) {
	e, known := c.members[r.ID]
	if !known {
		e = new(entry)
		c.members[r.ID] = e
		c.ordered = nil
	} else {
		c.sums.toggle(r.ID, encodeRecord(e.record))
		delete(c.byHash, runningKey(e.record))
	}
	old := e.record
	e.record = r
	c.byHash[runningKey(r)] = r.ID
	c.sums.toggle(r.ID, encodeRecord(r))
	fresh := !known || old.Level != levelSuspect || old.Refutation != r.Refutation || old.Incarnation != r.Incarnation
	if r.Level == levelSuspect && fresh {
		e.suspectUntil = now.Add(c.suspicion())
	}
	if !known || old.state() != r.state() || old.Incarnation != r.Incarnation {
		c.out.members = append(c.out.members, Member{record: r})
	}
	if old.Cell != r.Cell || r.state() != old.state() {
		c.digests.keepOnly(c.members, c.settings.Cell)
	}
}

func (c *Core) forget(id string) {
	r := c.members[id].record
	c.sums.toggle(id, encodeRecord(r))
	delete(c.byHash, runningKey(r))
	delete(c.members, id)
	c.ordered = nil
}

// suspicion returns how long a suspect has to refute. It grows with the
// logarithm of the members, as does the time that news needs.
func (c *Core) suspicion() time.Duration {
	factor := suspicionPeriods
	for n := 10; n <= len(c.members); n *= 10 {
		factor += suspicionPeriods
	}
	return time.Duration(factor) * c.timing.Period
}

// apply merges a record into the view and passes on what is new.
func (c *Core) apply(r memberRecord, now time.Time) {
	if r.ID == c.settings.ID {
		c.applySelf(r, now)
		return
	}
	merged := r
	if e, ok := c.members[r.ID]; ok {
		merged = join(e.record, r)
		if merged == e.record {
			return
		}
	} else if r.isExpired(now, c.timing.Retention) {
		return
	}
	running := merged
	if e, ok := c.members[r.ID]; ok {
		running.Running = e.record.Running
	}
	onlyRunning := c.members[r.ID] != nil && running == c.members[r.ID].record
	c.store(merged, now)
	if onlyRunning {
		c.spreadRunning(merged)
	} else {
		c.spread(merged)
	}
}

// applySelf refutes what others wrongly believe of this node.
func (c *Core) applySelf(r memberRecord, now time.Time) {
	own := c.self()
	if r.Incarnation > own.Incarnation {
		c.out.superseded = true
		return
	}
	if r.Incarnation < own.Incarnation {
		return
	}
	merged := join(own, r)
	if merged.Level != levelAlive && merged.Phase != phaseLeft {
		merged.Refutation++
		merged.Level = levelAlive
	}
	if merged != own {
		c.store(merged, now)
		c.spread(merged)
	}
}

// spread passes on the whole record of a member.
func (c *Core) spread(r memberRecord) {
	class := classMember
	if r.Phase != phaseActive {
		class = classUrgent
	}
	c.rumours.add("member "+r.ID, class, item{kind: itemMember, body: encodeRecord(r)})
}

func (c *Core) spreadRunning(r memberRecord) {
	body := encodeRecord(runningRecord{Member: runningKey(r), Number: r.Running})
	c.rumours.add("running "+r.ID, classRunning, item{kind: itemRunning, body: body})
}

// applyRunning merges the revision that a member has in force.
func (c *Core) applyRunning(r runningRecord, now time.Time) {
	id, ok := c.byHash[r.Member]
	if !ok || id == c.settings.ID {
		return
	}
	record := c.members[id].record
	record.Running = max(record.Running, r.Number)
	c.apply(record, now)
}

// applyMark merges a leaving mark. Marks are never taken back: a later
// incarnation of the endpoint is simply not covered.
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

// hear takes over a newer revision number.
func (c *Core) hear(r Revision) {
	if r.Number <= c.newest.Number {
		return
	}
	c.newest = r
	c.out.newest, c.out.heard = r, true
	// An item without content: the header of each message carries the revision.
	c.rumours.add("newest", classUrgent, item{})
}

// Step takes a datagram that the sender has signed. It returns what follows,
// or an error if the datagram can't be decoded.
func (c *Core) Step(from messenger.Sender, body []byte, now time.Time) (*Output, error) {
	h, items, err := decodeMessage(body)
	if err != nil {
		return c.finish(), err
	}
	c.hear(h.Newest)
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
	case kindRelay:
		c.relay(from, h, now)
	}
	return c.finish(), nil
}

func (c *Core) applyItem(from messenger.Sender, h header, i item, now time.Time) error {
	switch i.kind {
	case itemMember:
		return decodeTo(i.body, now, c.apply)
	case itemMark:
		return decodeTo(i.body, now, c.applyMark)
	case itemRunning:
		return decodeTo(i.body, now, c.applyRunning)
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

// Tick does what is due at now.
func (c *Core) Tick(now time.Time) *Output {
	c.thaw(now)
	c.lastTick = now
	c.sweep(now)
	c.buryOverdue(now)
	c.probe(now)
	c.rediscover(now)
	c.sendRumours(now)
	c.sendDigests(now)
	return c.finish()
}

// thaw gives others more time when this node itself did not run for a while.
func (c *Core) thaw(now time.Time) {
	gap := now.Sub(c.lastTick)
	if gap <= c.timing.Period {
		return
	}
	c.prober.current = nil
	for _, e := range c.members {
		e.suspectUntil = e.suspectUntil.Add(gap)
	}
}

// buryOverdue declares suspects dead that did not refute in time.
func (c *Core) buryOverdue(now time.Time) {
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

// ids returns the identities in a fixed order. The slice must not be changed.
func (c *Core) ids() []string {
	if len(c.ordered) != len(c.members) {
		c.ordered = make([]string, 0, len(c.members))
		for id := range c.members {
			c.ordered = append(c.ordered, id)
		}
		slices.Sort(c.ordered)
	}
	return c.ordered
}

// sweep writes off and forgets members and marks whose time is over. A node
// that has lost touch with most members writes none of them off, so that it
// goes on knowing that it lost touch.
func (c *Core) sweep(now time.Time) {
	if now.Before(c.nextSweep) {
		return
	}
	c.nextSweep = now.Add(sweepInterval)
	if c.Contact(now, sweepInterval).HasMost() {
		c.writtenOff = now.Add(-mourning)
		for _, id := range c.ids() {
			if c.members[id].record.isExpired(now, c.timing.Retention) {
				c.forget(id)
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
