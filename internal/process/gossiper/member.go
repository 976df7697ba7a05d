package gossiper

import (
	"net/netip"
	"slices"
	"strings"
	"time"
)

// State is the state of a member as known to this node.
type State uint8

// The states of a member.
const (
	// Alive members answer probes.
	Alive State = iota
	// Suspect members missed a probe and have not refuted it yet.
	Suspect
	// Leaving members finish their work and get no new work.
	Leaving
	// Left members have stopped as planned.
	Left
	// Dead members did not refute a suspicion in time.
	Dead
)

// String returns the state in lower case.
func (s State) String() string {
	return [...]string{"alive", "suspect", "leaving", "left", "dead"}[s]
}

// Roles is a set of roles of a node.
type Roles uint8

// The roles of a node.
const (
	// Entry nodes serve callers.
	Entry Roles = 1 << iota
	// Keeper nodes hold the replicated state.
	Keeper
)

// ParseRoles returns the set of the named roles; unknown names are ignored.
func ParseRoles(names []string) Roles {
	var r Roles
	if slices.Contains(names, "entry") {
		r |= Entry
	}
	if slices.Contains(names, "keeper") {
		r |= Keeper
	}
	return r
}

// Has reports whether all roles of other are in r.
func (r Roles) Has(other Roles) bool { return r&other == other }

// String returns the names of the roles, joined by commas.
func (r Roles) String() string {
	var names []string
	if r.Has(Entry) {
		names = append(names, "entry")
	}
	if r.Has(Keeper) {
		names = append(names, "keeper")
	}
	return strings.Join(names, ",")
}

// The levels of health. Within one refutation number the higher level wins; a
// higher refutation number overrides any level.
const (
	levelAlive uint8 = iota
	levelSuspect
	levelDead
)

// The phases of an incarnation. The phase never decreases.
const (
	phaseActive uint8 = iota
	phaseLeaving
	phaseLeft
)

// memberRecord is what nodes exchange about a member. Records about the same
// member are combined by mergeRecords; the order of their arrival has no
// effect.
type memberRecord struct {
	ID             string
	Incarnation    uint64
	Refutation     uint32
	Level          uint8
	Phase          uint8
	At             int64 // Unix time in seconds at which it left or died
	Address        netip.AddrPort
	Domain         string
	Cell           string
	Roles          uint8
	ActiveRevision uint64 // revision of the configuration in force
}

// mergeRecords merges two records about one member. It is commutative,
// associative and idempotent: a higher incarnation replaces a lower one, and
// within an incarnation the phase, the revision and the pair of refutation and
// level never decrease.
func mergeRecords(a, b memberRecord) memberRecord {
	if a.Incarnation != b.Incarnation {
		if a.Incarnation > b.Incarnation {
			return a
		}
		return b
	}
	out := a
	if a.Address.Compare(b.Address) < 0 {
		out.Address, out.Domain, out.Cell, out.Roles = b.Address, b.Domain, b.Cell, b.Roles
	}
	out.Phase = max(a.Phase, b.Phase)
	out.At = max(a.At, b.At)
	out.ActiveRevision = max(a.ActiveRevision, b.ActiveRevision)
	if b.Refutation > a.Refutation || b.Refutation == a.Refutation && b.Level > a.Level {
		out.Refutation, out.Level = b.Refutation, b.Level
	}
	return out
}

func (r memberRecord) state() State {
	switch {
	case r.Phase == phaseLeft:
		return Left
	case r.Level == levelDead:
		return Dead
	case r.Phase == phaseLeaving:
		return Leaving
	case r.Level == levelSuspect:
		return Suspect
	default:
		return Alive
	}
}

// isLive reports whether the member has neither left nor died as far as is
// known.
func (r memberRecord) isLive() bool {
	s := r.state()
	return s != Left && s != Dead
}

// isExpired reports whether a member left or died longer ago than retention.
func (r memberRecord) isExpired(now time.Time, retention time.Duration) bool {
	return !r.isLive() && now.Sub(time.Unix(r.At, 0)) > retention
}

// Member is one node of the deployment as this node sees it.
type Member struct {
	record memberRecord
}

// ID returns the node's identity.
func (m Member) ID() string { return m.record.ID }

// Incarnation returns the number of the node's start; a later start has a
// higher number.
func (m Member) Incarnation() uint64 { return m.record.Incarnation }

// Address returns the address for calls and datagrams.
func (m Member) Address() netip.AddrPort { return m.record.Address }

// Domain returns the failure domain.
func (m Member) Domain() string { return m.record.Domain }

// Cell returns the cell, within which digests are spread.
func (m Member) Cell() string { return m.record.Cell }

// Roles returns the roles.
func (m Member) Roles() Roles { return Roles(m.record.Roles) }

// State returns the state.
func (m Member) State() State { return m.record.state() }

// IsLive reports whether the member is alive, suspect or leaving.
func (m Member) IsLive() bool { return m.record.isLive() }

// ActiveRevision returns the revision of the configuration that the member has
// in force, or 0 if none is known.
func (m Member) ActiveRevision() uint64 { return m.record.ActiveRevision }

// GoneAt returns when the member left or was declared dead, to the second, or
// the zero time if it is live.
func (m Member) GoneAt() time.Time {
	if m.IsLive() {
		return time.Time{}
	}
	return time.Unix(m.record.At, 0)
}
