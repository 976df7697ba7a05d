package keeper

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"hyssoprudder/internal/process/applier"
	"hyssoprudder/internal/process/journaler"
)

const (
	modelElection      = 100 * time.Millisecond
	modelHeartbeat     = 15 * time.Millisecond
	stepsPerCheck      = 400
	modelSnapshotEvery = 12
)

// replica is one keeper of the model: a core, the content of its disk, and its clock.
type replica struct {
	name      string
	core      *Core // nil while the replica is down
	app       *applier.Applier
	frozen    bool
	clockRate float64 // speed of its clock relative to true time

	state    journaler.State
	snapshot journaler.Snapshot
	entries  []journaler.Entry
	revision uint64
	leaseEnd time.Time // of the newest lease it had, on its clock
}

// holds reports whether the entry is on the replica's disk.
func (r *replica) holds(e journaler.Entry) bool {
	if e.Index <= r.snapshot.Index {
		return true
	}
	i := e.Index - r.snapshot.Index - 1
	return i < uint64(len(r.entries)) && r.entries[i].Term == e.Term
}

func (r *replica) last() uint64 { return r.snapshot.Index + uint64(len(r.entries)) }

// model runs cores with a network and disks that lose what real ones may lose.
type model struct {
	t              *rapid.T
	replicas       []*replica
	inFlight       []Message
	partitioned    map[[2]string]bool // broken links, by the names of sender and receiver
	names          map[string]string  // by identity
	networkPercent int                // percentage of steps that deliver or drop a single message
	elapsed        time.Duration
	lastID         int
	lastReadID     uint64
	reads          map[uint64]uint64 // commit index at the start of the read, by its ID
	leaders        map[uint64]string // identity by term
	committed      []journaler.Entry
	results        []applier.Result
	granted        map[string]string // request by key
	wiped          map[string]bool
	changes        int
	revision       uint64
	retireAfter    time.Duration
	minVoters      int
}

func newModel(t *rapid.T) *model {
	m := newEmptyModel(t)
	m.networkPercent = rapid.SampledFrom([]int{10, 25, 60}).Draw(t, "chaos")
	m.retireAfter = rapid.SampledFrom([]time.Duration{0, modelRetire}).Draw(t, "retire")
	m.create(rapid.SampledFrom([]int{3, 3, 5}).Draw(t, "size"))
	return m
}

// newEmptyModel returns a model without replicas.
func newEmptyModel(t *rapid.T) *model {
	return &model{
		t: t, reads: make(map[uint64]uint64), leaders: make(map[uint64]string),
		granted: make(map[string]string), wiped: make(map[string]bool),
		partitioned: make(map[[2]string]bool), names: make(map[string]string),
	}
}

// create makes a log of that many replicas.
func (m *model) create(size int) {
	var members []Member
	for i := range size {
		r := &replica{name: fmt.Sprint("k", i), clockRate: 1 + float64(rapid.SampledFrom([]int{-DriftPercent, 0, DriftPercent}).Draw(m.t, "drift"))/100}
		m.replicas = append(m.replicas, r)
		m.boot(r)
		members = append(members, Member{ID: r.state.Identity, Name: r.name, Voter: true})
	}
	m.replicas[0].core.Create(m.now(m.replicas[0]), "cluster", members)
	m.execute(m.replicas[0], noCrash)
}

func (m *model) now(r *replica) time.Time {
	return time.Unix(0, 0).Add(time.Duration(float64(m.elapsed) * r.clockRate))
}

// boot starts a replica from its disk; an empty disk gets a new identity.
func (m *model) boot(r *replica) {
	if r.state.Identity == "" {
		m.lastID++
		r.state.Identity = fmt.Sprint("id-", m.lastID)
		m.names[r.state.Identity] = r.name
	}
	r.app, r.revision = applier.New(), 0 // until the leader has sent it the log
	if r.snapshot.Index > 0 {
		require.NoError(m.t, r.app.Restore(r.snapshot.Data))
	}
	r.core = NewCore(CoreConfig{
		State: r.state, Snapshot: r.snapshot, Entries: slices.Clone(r.entries), Now: m.now(r),
		Rand: rand.New(rand.NewPCG(xxhash.Sum64String(r.name), uint64(m.elapsed))), ElectionTimeout: modelElection, HeartbeatInterval: modelHeartbeat,
		RetireAfter: m.retireAfter, MinVoters: m.minVoters,
	})
}

// Points at which a crash may interrupt the execution of an output.
const (
	noCrash = iota
	crashBeforeDisk
	crashAfterState
	crashAfterDisk
)

func (m *model) crash(r *replica) { r.core, r.app, r.leaseEnd = nil, nil, time.Time{} }

// execute executes the core's outputs in the same order as Keeper does.
func (m *model) execute(r *replica, crashAt int) {
	for {
		out := r.core.Take()
		if out.IsEmpty() {
			return
		}
		m.inFlight = append(m.inFlight, out.Early...)
		if crashAt == crashBeforeDisk {
			m.crash(r)
			return
		}
		if out.State != nil {
			r.state = *out.State
		}
		if crashAt == crashAfterState {
			m.crash(r)
			return
		}
		if s := out.Snapshot; s != nil {
			r.snapshot, r.entries = *s, nil
			require.NoError(m.t, r.app.Restore(s.Data))
		}
		if len(out.Entries) > 0 {
			keep := out.Entries[0].Index - r.snapshot.Index - 1
			r.entries = append(slices.Clone(r.entries[:keep]), out.Entries...)
		}
		if crashAt == crashAfterDisk {
			m.crash(r)
			return
		}
		m.checkDurable(r, &out)
		m.inFlight = append(m.inFlight, out.Messages...)
		for _, e := range out.Committed {
			m.apply(r, e)
		}
		for _, done := range out.Reads {
			if done.OK {
				require.GreaterOrEqual(m.t, r.core.applied, m.reads[done.ID], "a read misses what was committed before it")
			}
			delete(m.reads, done.ID)
		}
		r.core.Persisted(m.now(r))
		m.compact(r)
	}
}

// checkDurable requires that everything a replica sends is on its disk.
func (m *model) checkDurable(r *replica, out *Output) {
	for _, msg := range out.Messages {
		switch {
		case msg.Kind == KindVote, msg.Kind == KindVoteReply && !msg.Reject:
			require.Equal(m.t, msg.Term, r.state.Term, "a term is sent before it is saved")
			if msg.Kind == KindVoteReply {
				require.Equal(m.t, msg.To, r.state.Vote, "a vote is given before it is saved")
			}
		case msg.Kind == KindAppendReply && !msg.Reject:
			require.Equal(m.t, msg.Term, r.state.Term, "entries are acknowledged in a term that is not saved")
			require.LessOrEqual(m.t, msg.Index, r.last(), "entries are acknowledged before they are saved")
			require.Equal(m.t, msg.To, r.state.Leader, "a promise is made before the leader is saved")
		}
	}
	before := r.core.memberships
	for _, e := range out.Entries {
		if e.Kind != journaler.KindMembers || r.core.role != RoleLeader || len(before) < 2 {
			continue
		}
		for _, member := range decodeMembers(e.Data) {
			old, known := findMember(before[len(before)-2].members, member.ID)
			if learner := known && !old.Voter; learner && member.Voter {
				require.GreaterOrEqual(m.t, m.byID(member.ID).last(), r.core.commit, "a learner becomes a voter too early")
			}
		}
	}
}

func (m *model) byID(id string) *replica {
	for _, r := range m.replicas {
		if r.state.Identity == id {
			return r
		}
	}
	return nil
}

// checkQuorum requires that a quorum of the voters has the entry on disk, or had it before the
// disk was wiped.
func (m *model) checkQuorum(leader *replica, e journaler.Entry) {
	voters, holders := 0, 0
	for _, member := range leader.core.members() {
		if !member.Voter {
			continue
		}
		voters++
		if r := m.byID(member.ID); r == nil || r.holds(e) {
			holders++
		}
	}
	require.Greater(m.t, holders, voters/2, "entry %d is committed on too few disks", e.Index)
}

// apply executes an entry and compares it with what other replicas committed.
func (m *model) apply(r *replica, e journaler.Entry) {
	var result applier.Result
	if e.Kind == journaler.KindCommand {
		c, err := applier.Decode(e.Data)
		require.NoError(m.t, err)
		result = r.app.Apply(e.Index, e.Term, c)
		m.checkGrant(c, result)
	} else {
		r.app.Skip(e.Index)
	}
	require.Equal(m.t, r.app.Index(), e.Index)
	if n := uint64(len(m.committed)); e.Index == n+1 {
		m.checkQuorum(r, e)
		m.committed = append(m.committed, e)
		m.results = append(m.results, result)
		if rule := result.Rule; rule != nil && rule.Outcome == applier.RuleAccepted && rule.Revision > m.revision {
			require.Equal(m.t, m.revision+1, rule.Revision, "a revision was skipped")
			m.revision = rule.Revision
		}
		return
	}
	require.LessOrEqual(m.t, e.Index, uint64(len(m.committed)), "a gap in what is committed")
	require.Equal(m.t, m.committed[e.Index-1], e, "a committed entry has changed")
	require.Equal(m.t, m.results[e.Index-1], result, "replicas disagree on a result")
}

func (m *model) checkGrant(c applier.Command, result applier.Result) {
	if c.ClaimGrant == nil || result.Claim.Outcome != applier.ClaimGranted {
		return
	}
	key := c.ClaimGrant.Key
	if holder, ok := m.granted[key]; ok {
		require.Equal(m.t, holder, c.ClaimGrant.Request, "key %s granted twice", key)
	}
	m.granted[key] = c.ClaimGrant.Request
}

func (m *model) compact(r *replica) {
	index := r.core.applied
	term, ok := r.core.log.term(index)
	if index < r.snapshot.Index+modelSnapshotEvery || !ok {
		return
	}
	data, err := r.app.Capture().Encode()
	require.NoError(m.t, err)
	rest := r.entries[index-r.snapshot.Index:]
	r.snapshot = journaler.Snapshot{Index: index, Term: term, Members: encodeMembers(r.core.membersAt(index)), Data: data}
	r.entries = slices.Clone(rest)
	r.core.Compact(index)
	r.core.log.compact(index) // also drop the entries kept for slow replicas
}

// check verifies the invariants over all replicas.
func (m *model) check() {
	holders := 0
	for _, r := range m.replicas {
		if r.core == nil {
			continue
		}
		if until, ok := r.core.Lease(m.now(r)); ok && until.After(r.leaseEnd) {
			r.leaseEnd = until
		}
		if m.now(r).Before(r.leaseEnd) {
			holders++ // even after a step-down: others in the process may still act on it
		}
		rev := r.app.Rules().Number
		require.GreaterOrEqual(m.t, rev, r.revision, "the revision at %s decreased", r.name)
		r.revision = rev
		if r.core.role != RoleLeader {
			continue
		}
		if id, ok := m.leaders[r.core.state.Term]; ok {
			require.Equal(m.t, id, r.core.id, "two leaders in term %d", r.core.state.Term)
			continue
		}
		m.leaders[r.core.state.Term] = r.core.id
		require.GreaterOrEqual(m.t, r.core.log.last(), uint64(len(m.committed)), "a leader lacks committed entries")
		for i := r.core.log.first(); i <= uint64(len(m.committed)); i++ {
			require.Equal(m.t, m.committed[i-1], r.core.log.slice(i, i)[0], "a leader holds another entry")
		}
	}
	require.LessOrEqual(m.t, holders, 1, "two leases at a time")
}

func (m *model) findRunning(id string) *replica {
	for _, r := range m.replicas {
		if r.state.Identity == id && r.core != nil && !r.frozen {
			return r
		}
	}
	return nil
}

// deliver delivers message i; duplicate leaves a copy in flight.
func (m *model) deliver(i int, duplicate bool, crashAt int) {
	msg := m.inFlight[i]
	if !duplicate {
		m.inFlight = slices.Delete(m.inFlight, i, i+1)
	}
	m.receive(msg, crashAt)
}

func (m *model) receive(msg Message, crashAt int) {
	if m.partitioned[[2]string{m.names[msg.From], m.names[msg.To]}] {
		return
	}
	if msg.Kind == KindSnapshot && msg.Snapshot == nil {
		from := m.findRunning(msg.From)
		if from == nil || from.snapshot.Index == 0 {
			return
		}
		s := from.snapshot
		msg.Snapshot = &s
	}
	if to := m.findRunning(msg.To); to != nil {
		to.core.Step(m.now(to), msg)
		m.execute(to, crashAt)
	}
}

func (m *model) command() []byte {
	m.changes++
	c := applier.Command{}
	switch rapid.IntRange(0, 2).Draw(m.t, "command") {
	case 0:
		c.RuleApply = &applier.RuleApply{
			ChangeID: fmt.Sprint("change-", rapid.IntRange(0, m.changes).Draw(m.t, "change")),
			Base:     uint64(rapid.IntRange(0, m.changes).Draw(m.t, "base")), Text: fmt.Sprint("text ", m.changes),
		}
		if rapid.Bool().Draw(m.t, "current") {
			for _, r := range m.replicas {
				if r.core != nil {
					c.RuleApply.Base = r.app.Rules().Number
				}
			}
		}
	case 1:
		c.FenceNext = &applier.FenceNext{}
	default:
		c.ClaimGrant = &applier.ClaimGrant{
			Customer: "masons", Key: fmt.Sprint("key-", rapid.IntRange(0, 20).Draw(m.t, "key")), BodyHash: "h",
			Entry: "entry", Request: fmt.Sprint("request-", m.changes), Retention: time.Hour,
		}
	}
	data, err := c.Encode()
	require.NoError(m.t, err)
	return data
}

// canWipe reports whether the last repair is complete: the members are all replicas, as voters
// with their disks intact, and every replica is up and knows this.
func (m *model) canWipe() bool {
	for _, r := range m.replicas {
		if r.core == nil || r.core.memberships == nil || r.core.memberships[len(r.core.memberships)-1].index > r.core.commit {
			return false
		}
		for _, member := range r.core.members() {
			if !member.Voter || m.wiped[member.ID] {
				return false
			}
		}
		if len(r.core.members()) != len(m.replicas) {
			return false
		}
	}
	return true
}

func (m *model) wipe(r *replica) {
	if !m.canWipe() {
		return
	}
	m.wiped[r.state.Identity] = true
	*r = replica{name: r.name, clockRate: r.clockRate}
	m.boot(r)
}

// joinAll lets replicas that are not members ask the leaders to join.
func (m *model) joinAll() {
	for _, leader := range m.replicas {
		if leader.core == nil || leader.frozen || leader.core.role != RoleLeader {
			continue
		}
		for _, r := range m.replicas {
			if r.core == nil {
				continue
			}
			if _, known := findMember(leader.core.members(), r.state.Identity); !known {
				leader.core.Join(m.now(leader), Member{ID: r.state.Identity, Name: r.name})
			}
		}
		m.execute(leader, noCrash)
	}
}

func (m *model) tick(r *replica, crashAt int) {
	if r.core == nil || r.frozen {
		return
	}
	r.core.Tick(m.now(r))
	m.execute(r, crashAt)
}

// runWithoutFaults lets all running replicas exchange messages without loss for a while.
func (m *model) runWithoutFaults(pause time.Duration, hops int) {
	m.elapsed += pause
	for _, r := range m.replicas {
		m.tick(r, noCrash)
	}
	for range hops {
		for n := len(m.inFlight); n > 0; n-- {
			m.deliver(0, false, noCrash)
		}
		m.check()
	}
	m.joinAll()
}
