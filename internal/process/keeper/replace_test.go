package keeper

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"hyssoprudder/internal/process/journaler"
)

const (
	// modelCatchUp is how long an instance that is back, or new, counts as lost. It is as many
	// election timeouts as on the managed deployments.
	modelCatchUp = 8 * modelElection
	modelRetire  = modelCatchUp / 2
)

// loss is how an instance is lost.
type loss int

const (
	lossReplaced loss = iota // an empty one comes later at another address
	lossPlanned              // the empty one comes first
	lossWiped                // it comes back with an empty disk
	lossFrozen
	lossCut
	lossRestarted
	lossKinds
)

// outage is the loss of one instance.
type outage struct {
	kind    loss
	replica *replica
}

func (m *model) runFor(d time.Duration) {
	for end := m.elapsed + d; m.elapsed < end; {
		m.runWithoutFaults(modelHeartbeat/3, 3)
	}
}

// add starts an empty replica with a new name.
func (m *model) add() {
	m.lastID++
	r := &replica{name: fmt.Sprint("k", m.lastID), clockRate: 1}
	m.replicas = append(m.replicas, r)
	m.boot(r)
}

func (m *model) begin(o outage) {
	switch o.kind {
	case lossPlanned:
		m.add()
		m.runFor(modelCatchUp)
		o.replica.core.Transfer(m.now(o.replica))
		m.execute(o.replica, noCrash)
		m.runFor(modelElection)
		fallthrough
	case lossReplaced:
		m.replicas = slices.DeleteFunc(m.replicas, func(r *replica) bool { return r == o.replica })
	case lossWiped, lossRestarted:
		m.crash(o.replica)
	case lossFrozen:
		o.replica.frozen = true
	default:
		m.isolate(o.replica, true)
	}
}

func (m *model) finish(o outage) {
	switch o.kind {
	case lossPlanned:
	case lossReplaced:
		m.add()
	case lossWiped:
		m.wiped[o.replica.state.Identity] = true
		*o.replica = replica{name: o.replica.name, clockRate: o.replica.clockRate}
		m.boot(o.replica)
	case lossRestarted:
		m.boot(o.replica)
	case lossFrozen:
		o.replica.frozen = false
	default:
		m.isolate(o.replica, false)
	}
}

func (m *model) isolate(r *replica, isolated bool) {
	for _, other := range m.replicas {
		m.partitioned[[2]string{r.name, other.name}], m.partitioned[[2]string{other.name, r.name}] = isolated, isolated
	}
}

// requireCommit requires that a command is committed within a few elections.
func (m *model) requireCommit(why string) {
	before := len(m.committed)
	for end := m.elapsed + modelCatchUp; m.elapsed < end; {
		m.runFor(modelHeartbeat)
		for _, r := range m.replicas {
			if r.core == nil || r.frozen || r.core.role != RoleLeader {
				continue
			}
			r.core.Propose(m.now(r), [][]byte{m.command()})
			m.execute(r, noCrash)
		}
		if slices.ContainsFunc(m.committed[before:], func(e journaler.Entry) bool { return e.Kind == journaler.KindCommand }) {
			return
		}
	}
	require.Fail(m.t, "nothing is committed", "%s:\n%s", why, m.describe())
}

// requireAllVoters requires that the voters are the running replicas and no others.
func (m *model) requireAllVoters() {
	var running, voters []string
	for _, r := range m.replicas {
		running = append(running, r.name)
		if r.core.role != RoleLeader {
			continue
		}
		voters = nil
		for _, member := range r.core.Members() {
			require.True(m.t, member.Voter, "a learner remains: %v", r.core.Members())
			voters = append(voters, member.Name)
		}
	}
	require.ElementsMatch(m.t, running, voters, "%s", m.describe())
}

func (m *model) describe() string {
	var b strings.Builder
	for _, r := range m.replicas {
		c := r.core
		fmt.Fprintf(&b, "%s: %s of term %d, log to %d, committed %d, promised for %v, voters", r.name, c.role, c.state.Term, c.log.last(), c.commit, c.promisedUntil.Sub(m.now(r)))
		for _, member := range c.Members() {
			if member.Voter {
				fmt.Fprintf(&b, " %s", member.Name)
			}
		}
		b.WriteByte('\n')
	}
	return b.String()
}

// Replaced keepers stayed voters for so long that, after four of five had been replaced in turn,
// the log had no majority any more.
func TestReplacedKeepersLeaveTheLog(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tolerated := rapid.IntRange(1, 2).Draw(t, "tolerated")
		size := rapid.IntRange(2*tolerated+1, 4*tolerated+1).Draw(t, "size")
		m := newEmptyModel(t)
		m.retireAfter, m.minVoters = modelRetire, 2*tolerated+1
		m.create(size)
		m.runFor(modelCatchUp)
		for range rapid.IntRange(1, 2*size).Draw(t, "rounds") {
			var outages []outage
			victims := rapid.Permutation(m.replicas).Draw(t, "victims")[:rapid.IntRange(1, tolerated).Draw(t, "lost")]
			for _, r := range victims {
				o := outage{loss(rapid.IntRange(0, int(lossKinds)-1).Draw(t, "kind")), r}
				outages = append(outages, o)
				m.begin(o)
			}
			m.runFor(time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * modelElection / 100)
			if rapid.Bool().Draw(t, "write") {
				m.requireCommit("while some keepers are lost")
			}
			for _, o := range outages {
				m.finish(o)
			}
			m.runFor(modelCatchUp)
			m.requireAllVoters()
		}
		m.requireCommit("after all keepers have caught up")
	})
}
