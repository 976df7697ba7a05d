package runner

import (
	"context"
	"net/netip"
	"strings"
	"time"

	"hyssoprudder/internal/connection/operator"
	"hyssoprudder/internal/process/keeper"
	"hyssoprudder/internal/version/judge"
)

// dumpVersion is the version of the format of state dumps.
const dumpVersion = 1

// Dump is the state of a node. Each field is consistent in itself, but the fields are
// read one after the other.
type Dump struct {
	Version     int                 `json:"version"`
	At          time.Time           `json:"at"`
	Node        string              `json:"node"`
	Incarnation uint64              `json:"incarnation"`
	Ready       string              `json:"ready"` // "ready", or why it is not
	Revision    uint64              `json:"revision"`
	InFlight    int64               `json:"running"` // calls in flight
	Keeper      *keeper.Status      `json:"keeper,omitempty"`
	Members     []operator.Member   `json:"members"`
	Endpoints   []operator.Endpoint `json:"endpoints"`
	Leaving     []string            `json:"leaving"`
	Evacuated   []string            `json:"evacuated"` // failure domains
	Moves       []operator.Move     `json:"moves"`
	Counts      *judge.Digest       `json:"counts"` // of calls to services that have a move
}

func (r *Runner) dump() (any, error) {
	d := &Dump{
		Version: dumpVersion, At: r.clock.Now().UTC(), Node: r.settings.ID(), Incarnation: r.incarnation,
		Ready: "ready", Revision: r.rules.revision(),
		Members: r.members(), Endpoints: r.endpoints(), Leaving: r.table.Marks(), Evacuated: r.domains.evacuated(), Moves: r.localMoves(), Counts: r.versions.recorder.Digest(),
	}
	if err := r.ready(); err != nil {
		d.Ready = err.Error()
	}
	if r.callers != nil {
		d.InFlight = r.callers.InFlight()
	}
	if r.state.keeper != nil {
		status := r.state.keeper.Status()
		d.Keeper = &status
	}
	return d, nil
}

func (r *Runner) waiting(ctx context.Context, revision uint64) operator.Waiting {
	w := operator.Waiting{Revision: revision, Members: r.fetcher.Waiting(ctx, revision)}
	if w.Members == nil {
		w.Members = []string{}
	}
	return w
}

func (r *Runner) members() []operator.Member {
	leader, _, _ := r.leader()
	members := []operator.Member{}
	for _, m := range r.gossiper.Members() {
		members = append(members, operator.Member{
			ID: m.ID(), Address: m.Address().String(), Domain: m.Domain(), Roles: strings.Split(m.Roles().String(), ","),
			State: m.State().String(), Incarnation: m.Incarnation(), Revision: m.ActiveRevision(), Leader: m.ID() == leader,
		})
	}
	return members
}

// leader returns the leader that this node knows; only keepers know one.
func (r *Runner) leader() (string, netip.AddrPort, bool) {
	if r.state.keeper == nil {
		return "", netip.AddrPort{}, false
	}
	return r.state.keeper.Leader()
}
