package keeper

import (
	"net/netip"
	"time"
)

// published is the loop's copy of the core's state for other goroutines.
type published struct {
	role              Role
	term              uint64
	leader            Member
	members           []Member
	empty             bool
	commit            uint64
	last              uint64
	applied           uint64
	snapshot          uint64
	segments          int
	leaseUntil        time.Time
	leaseOK           bool
	clusterTimeOffset time.Duration
	promisedUntil     time.Time
	failure           error
}

func (k *Keeper) publish() {
	c := k.core
	p := published{
		role: c.role, term: c.state.Term, members: c.Members(), empty: c.IsEmpty(), commit: c.commit, last: c.log.last(),
		applied: c.applied, snapshot: k.snapshotIndex, segments: k.journal.Segments(), promisedUntil: c.promisedUntil, clusterTimeOffset: c.ClusterTimeOffset(),
	}
	p.leader, _ = findMember(p.members, c.leader)
	p.leaseUntil, p.leaseOK = c.Lease(k.config.Clock.Now())
	k.mu.Lock()
	p.failure = k.published.failure
	k.published = p
	k.mu.Unlock()
}

func (k *Keeper) view() published {
	k.mu.RLock()
	defer k.mu.RUnlock()
	return k.published
}

// Lease is a period during which at most one leader may act without going through the log.
type Lease struct {
	term  uint64
	until time.Time
}

// Term returns the term, the first part of fencing numbers.
func (l Lease) Term() uint64 { return l.term }

// NewLease returns a lease of a term that ends at a time, for tests of those who use leases.
func NewLease(term uint64, until time.Time) Lease { return Lease{term: term, until: until} }

// Until returns the end of the lease on this process's clock. Each round of heartbeats extends
// it, so get the lease again before each action.
func (l Lease) Until() time.Time { return l.until }

// Lease returns the lease that this keeper holds now.
func (k *Keeper) Lease() (Lease, bool) {
	p := k.view()
	return k.leaseOf(&p)
}

func (k *Keeper) leaseOf(p *published) (Lease, bool) {
	if !p.leaseOK || p.failure != nil || !k.config.Clock.Now().Before(p.leaseUntil) {
		return Lease{}, false
	}
	return Lease{term: p.term, until: p.leaseUntil}, true
}

// Leader returns the leader, if this keeper knows it.
func (k *Keeper) Leader() (name string, address netip.AddrPort, ok bool) {
	p := k.view()
	if p.failure != nil || p.leader.Name == "" {
		return "", netip.AddrPort{}, false
	}
	return p.leader.Name, p.leader.Address, true
}

func (k *Keeper) isLeader() bool { return k.view().role == RoleLeader }

func (k *Keeper) notLeader() error {
	p := k.view()
	if p.failure != nil {
		return k.stopped()
	}
	if p.leader.ID == k.self.ID {
		return &NotLeaderError{}
	}
	return &NotLeaderError{name: p.leader.Name, address: p.leader.Address}
}

func (k *Keeper) stopped() error {
	if err := k.view().failure; err != nil {
		return err
	}
	return ErrStopped
}

// Status is the state of a keeper in the state dump.
type Status struct {
	Journal  string    `json:"journal"`
	Name     string    `json:"name"`
	Identity string    `json:"identity"`
	Role     Role      `json:"role"`
	Term     uint64    `json:"term"`
	Leader   string    `json:"leader"`
	Members  []Member  `json:"members"`
	Empty    bool      `json:"empty"`
	Last     uint64    `json:"last"`
	Commit   uint64    `json:"commit"`
	Applied  uint64    `json:"applied"`
	Snapshot uint64    `json:"snapshot"`
	Segments int       `json:"segments"`
	Lease    time.Time `json:"lease"`
	Revision uint64    `json:"revision"`
	Claims   int       `json:"claims"`
	Bytes    int       `json:"bytes"`
	// Failure is the error that stopped the keeper, if any.
	Failure string `json:"failure,omitempty"`
}

// Status returns the state of the keeper.
func (k *Keeper) Status() Status {
	p := k.view()
	s := Status{
		Journal: k.config.Journal, Name: k.config.Name, Identity: k.self.ID, Role: p.role, Term: p.term,
		Leader: p.leader.Name, Members: p.members, Empty: p.empty, Last: p.last, Commit: p.commit, Applied: p.applied,
		Snapshot: p.snapshot, Segments: p.segments, Revision: k.applier.Rules().Number,
	}
	if l, ok := k.Lease(); ok {
		s.Lease = l.until
	}
	s.Claims, s.Bytes = k.applier.Counts()
	if p.failure != nil {
		s.Failure = p.failure.Error()
	}
	return s
}

// Err returns the failure that stopped the keeper, for example one that wraps
// journaler.ErrFailed, or nil.
func (k *Keeper) Err() error { return k.view().failure }

// CaughtUpLease returns the lease, like Lease, if this keeper has also executed everything that
// is committed, so that its state covers all acknowledged commands.
func (k *Keeper) CaughtUpLease() (Lease, bool) {
	p := k.view()
	lease, ok := k.leaseOf(&p)
	return lease, ok && k.applier.Index() >= p.commit
}

// Addresses returns the addresses of all keepers of the log.
func (k *Keeper) Addresses() []netip.AddrPort {
	members := k.view().members
	out := make([]netip.AddrPort, len(members))
	for i, m := range members {
		out[i] = m.Address
	}
	return out
}
