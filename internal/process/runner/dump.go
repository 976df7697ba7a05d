package runner

import (
	"context"
	"time"

	"hyssoprudder/internal/connection/operator"
	"hyssoprudder/internal/process/keeper"
)

// dumpVersion is the version of the layout of state dumps.
const dumpVersion = 1

// Dump is the state of a node. Each part is consistent in itself; the parts
// are read one after the other.
type Dump struct {
	Version     int                 `json:"version"`
	At          time.Time           `json:"at"`
	Node        string              `json:"node"`
	Incarnation uint64              `json:"incarnation"`
	Ready       string              `json:"ready"` // "ready", or why it is not
	Revision    uint64              `json:"revision"`
	Running     int64               `json:"running"` // calls being served
	Keeper      *keeper.Status      `json:"keeper,omitempty"`
	Members     []operator.Member   `json:"members"`
	Endpoints   []operator.Endpoint `json:"endpoints"`
	Leaving     []string            `json:"leaving"`
}

func (r *Runner) dump() (any, error) {
	d := &Dump{
		Version: dumpVersion, At: r.clock.Now().UTC(), Node: r.settings.ID(), Incarnation: r.incarnation,
		Ready: "ready", Revision: r.rules.revision(),
		Members: r.members(), Endpoints: r.endpoints(), Leaving: r.table.Marks(),
	}
	if err := r.ready(); err != nil {
		d.Ready = err.Error()
	}
	if r.callers != nil {
		d.Running = r.callers.Running()
	}
	if r.state.keeper != nil {
		status := r.state.keeper.Status()
		d.Keeper = &status
	}
	return d, nil
}

func (r *Runner) waiting(revision uint64) operator.Waiting {
	w := operator.Waiting{Revision: revision, Members: []string{}}
	if r.rules.revision() < revision {
		w.Members = append(w.Members, r.settings.ID())
	}
	return w
}

func (r *Runner) members() []operator.Member {
	return []operator.Member{{ID: r.settings.ID(), Address: r.messenger.Address().String(), Domain: r.settings.Domain(), State: "alive", Revision: r.rules.revision()}}
}

func (r *Runner) moves(context.Context) ([]operator.Move, error) { return []operator.Move{}, nil }

func (r *Runner) abort(context.Context, string) (operator.Move, error) {
	return operator.Move{}, &operator.Fault{Code: operator.CodeMissing, Message: "no such move"}
}
