package keeper

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// step performs one random action.
func (m *model) step() {
	r := rapid.SampledFrom(m.replicas).Draw(m.t, "replica")
	action := rapid.IntRange(0, 99).Draw(m.t, "action")
	crashAt := noCrash
	if rapid.IntRange(0, 20).Draw(m.t, "crash") == 0 {
		crashAt = rapid.IntRange(crashBeforeDisk, crashAfterDisk).Draw(m.t, "where")
	}
	switch {
	case r.core == nil && action < 50:
		m.boot(r)
	case r.frozen && action < 10:
		r.frozen = false
	case rapid.IntRange(0, 99).Draw(m.t, "network") < m.networkPercent:
		m.stepNetwork(crashAt)
	case action < 40:
		m.elapsed += time.Duration(rapid.IntRange(1, 20).Draw(m.t, "ms")) * time.Millisecond
		m.tick(r, crashAt)
	case action < 70:
		hops := rapid.IntRange(1, 6).Draw(m.t, "hops")
		for range rapid.IntRange(1, 8).Draw(m.t, "burst") {
			m.runWithoutFaults(time.Duration(rapid.IntRange(1, 15).Draw(m.t, "ms"))*time.Millisecond, hops)
		}
	case action < 73:
		m.elapsed += time.Duration(rapid.IntRange(20, 250).Draw(m.t, "pause")) * time.Millisecond
	case action < 76:
		m.changePartition(r)
	default:
		m.stepReplica(r, action, crashAt)
	}
	if action%4 == 0 {
		m.readAll()
	}
	m.check()
}

func (m *model) stepNetwork(crashAt int) {
	if len(m.inFlight) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.inFlight)-1).Draw(m.t, "message")
	switch fate := rapid.IntRange(0, 9).Draw(m.t, "fate"); fate {
	case 0:
		m.inFlight = slices.Delete(m.inFlight, i, i+1)
	default:
		m.deliver(i, fate == 1, crashAt)
	}
	if len(m.inFlight) > 200 {
		m.inFlight = m.inFlight[100:]
	}
}

func (m *model) stepReplica(r *replica, action, crashAt int) {
	switch {
	case r.core == nil:
		m.boot(r)
	case action < 76:
		m.crash(r)
	case action < 78:
		m.wipe(r)
	case action < 80:
		r.frozen = !r.frozen
	case r.frozen:
		r.frozen = action < 90
	case action < 82:
		r.core.Transfer(m.now(r))
		m.execute(r, crashAt)
	case action < 85:
		m.read(r)
	default:
		r.core.Propose(m.now(r), [][]byte{m.command(), m.command()})
		m.execute(r, crashAt)
	}
}

// changePartition repairs all links, or breaks those between r and some others in one or both
// directions.
func (m *model) changePartition(r *replica) {
	how := rapid.IntRange(0, 5).Draw(m.t, "cut")
	if how < 2 || len(m.partitioned) > 0 && how < 5 {
		clear(m.partitioned)
		return
	}
	for _, other := range m.replicas {
		if rapid.IntRange(0, 3).Draw(m.t, "whom") == 0 {
			continue
		}
		if how != 2 {
			m.partitioned[[2]string{r.name, other.name}] = true
		}
		if how != 3 {
			m.partitioned[[2]string{other.name, r.name}] = true
		}
	}
}

func (m *model) read(r *replica) {
	m.lastReadID++
	m.reads[m.lastReadID] = uint64(len(m.committed))
	r.core.Read(m.now(r), m.lastReadID)
	m.execute(r, noCrash)
}

// readAll starts a read at every running replica that considers itself the leader.
func (m *model) readAll() {
	for _, r := range m.replicas {
		if r.core != nil && !r.frozen && r.core.role == RoleLeader {
			m.read(r)
		}
	}
}

// heal ends all faults and requires progress.
func (m *model) heal() {
	clear(m.partitioned)
	for _, r := range m.replicas {
		r.frozen = false
		if r.core == nil {
			m.boot(r)
		}
	}
	before := len(m.committed)
	for range 400 {
		m.runWithoutFaults(modelHeartbeat, 1)
		for _, r := range m.replicas {
			r.core.Propose(m.now(r), [][]byte{m.command()})
			m.execute(r, noCrash)
		}
		if len(m.committed) > before+5 && m.canWipe() {
			return
		}
	}
	for _, r := range m.replicas {
		m.t.Logf("%s %s %s term %d last %d commit %d members %+v", r.name, r.state.Identity, r.core.role, r.state.Term, r.core.log.last(), r.core.commit, r.core.members())
	}
	m.t.Fatalf("no progress after all faults have ended: %d entries committed, %d before", len(m.committed), before)
}

func TestCoreKeepsItsInvariantsUnderFaults(t *testing.T) {
	committed, terms, wipes := 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		for range stepsPerCheck {
			m.step()
		}
		m.heal()
		committed += len(m.committed)
		terms += len(m.leaders)
		wipes += len(m.wiped)
	})
	t.Logf("%d entries committed, %d leaders, %d wiped disks", committed, terms, wipes)
}
