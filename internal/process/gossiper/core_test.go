package gossiper

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func newCluster(t require.TestingT, n int, seed uint64) *network {
	w := newNetwork(seed)
	for i := range n {
		w.start(i, nil)
	}
	_, ok := w.runUntil(2*time.Minute, w.complete)
	require.True(t, ok, "all nodes join")
	return w
}

func TestAllJoinThroughSeeds(t *testing.T) {
	for _, n := range []int{2, 6, 40} {
		t.Run(fmt.Sprint(n), func(t *testing.T) { newCluster(t, n, 1) })
	}
}

func TestCrashedNodeIsDeadAndItsRestartAlive(t *testing.T) {
	w := newCluster(t, 6, 2)
	w.nodes["n003"].up = false
	_, ok := w.runUntil(time.Minute, func() bool { return w.allSee("n003", Dead) })
	require.True(t, ok)
	w.start(3, nil)
	_, ok = w.runUntil(time.Minute, w.complete)
	require.True(t, ok)
}

func (w *network) allSee(id string, s State) bool {
	for _, n := range w.running() {
		if m, ok := n.core.Member(id); n.id != id && (!ok || m.State() != s) {
			return false
		}
	}
	return true
}

func TestLeftMemberStaysLeftUntilItsNextIncarnation(t *testing.T) {
	w := newCluster(t, 6, 3)
	n := w.nodes["n002"]
	w.emit(n, n.core.Leave(w.now))
	took, ok := w.runUntil(time.Minute, func() bool { return w.allSee("n002", Leaving) })
	require.True(t, ok)
	t.Logf("all nodes saw the leaving mark after %s", took)
	w.emit(n, n.core.Depart(w.now))
	_, ok = w.runUntil(time.Minute, func() bool { return w.allSee("n002", Left) })
	require.True(t, ok)
	n.up = false
	w.run(time.Minute)
	require.True(t, w.allSee("n002", Left))
	w.start(2, nil)
	_, ok = w.runUntil(time.Minute, w.complete)
	require.True(t, ok)
}

func TestOneWayPartitionIsBridgedByIndirectProbes(t *testing.T) {
	w := newCluster(t, 6, 4)
	w.blocked[[2]string{"n001", "n002"}] = true
	for range 600 {
		w.step()
		m, _ := w.nodes["n002"].core.Member("n001")
		require.Equal(t, Alive, m.State())
	}
}

func TestPartitionedHalvesRejoin(t *testing.T) {
	tests := map[string]struct {
		seeded bool
	}{
		"through seeds":                   {seeded: true},
		"through dead members' addresses": {seeded: false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			w := newCluster(t, 6, 5)
			for _, n := range w.nodes {
				if !tt.seeded {
					n.core.SetSeeds(nil)
				}
			}
			w.setPartition(3, true)
			_, ok := w.runUntil(time.Minute, func() bool {
				m, _ := w.nodes["n000"].core.Member("n005")
				return m.State() == Dead
			})
			require.True(t, ok)
			w.run(time.Minute)
			require.False(t, w.nodes["n000"].core.Contact(w.now, 10*time.Second).HasMajority(), "half is no majority")
			w.setPartition(3, false)
			_, ok = w.runUntil(time.Minute, func() bool {
				return w.complete() && w.nodes["n000"].core.Contact(w.now, 10*time.Second).HasMajority()
			})
			require.True(t, ok)
		})
	}
}

func TestDeadMembersCountForAWhile(t *testing.T) {
	w := newCluster(t, 6, 10)
	hasMajority := func() bool { return w.nodes["n000"].core.Contact(w.now, 10*time.Second).HasMajority() }
	crash := func(id string) {
		w.nodes[id].up = false
		_, ok := w.runUntil(time.Minute, func() bool { return w.allSee(id, Dead) })
		require.True(t, ok)
		w.run(20 * time.Second)
	}
	crash("n005")
	crash("n004")
	require.True(t, hasMajority(), "four of six")
	w.run(deadMemberWindow + sweepInterval)
	crash("n003")
	require.True(t, hasMajority(), "three of four")
	crash("n002")
	require.False(t, hasMajority(), "two of four")
	w.run(2 * deadMemberWindow)
	require.False(t, hasMajority(), "without a majority, no dead member stops counting")
}

// setPartition blocks datagrams between the nodes with numbers below from and
// the other nodes, or ends that partition.
func (w *network) setPartition(from int, partitioned bool) {
	for i := range w.nodes {
		for j := range w.nodes {
			if (i < idOf(from)) != (j < idOf(from)) {
				w.blocked[[2]string{i, j}] = partitioned
			}
		}
	}
}

func TestDigestsStayInsideTheCell(t *testing.T) {
	w := newNetwork(6)
	for i := range 6 {
		w.start(i, func(s *Settings) { s.Cell = fmt.Sprint("cell", i%2) })
	}
	_, ok := w.runUntil(time.Minute, w.complete)
	require.True(t, ok)
	require.NoError(t, w.nodes["n000"].core.Publish(1, 7, []byte("load")))
	require.NoError(t, w.nodes["n000"].core.Publish(1, 6, []byte("older")))
	require.Error(t, w.nodes["n000"].core.Publish(1, 8, make([]byte, maxDigest+1)))
	w.run(5 * time.Second)
	for i := 1; i < 6; i++ {
		digests := w.nodes[idOf(i)].core.Digests(1)
		if i%2 == 1 {
			require.Empty(t, digests)
			continue
		}
		require.Len(t, digests, 1)
		require.Equal(t, "load", string(digests[0].Body()))
	}
}

func TestStaleSeedListRevivesNoDeadMember(t *testing.T) {
	w := newCluster(t, 4, 7)
	c := w.nodes["n000"].core
	c.MarkLeaving("engine-1", 3, w.now)
	require.True(t, c.IsLeaving("engine-1", 3))
	require.True(t, c.IsLeaving("engine-1", 2))
	require.False(t, c.IsLeaving("engine-1", 4))
	w.nodes["n003"].up = false
	_, ok := w.runUntil(time.Minute, func() bool { return w.allSee("n003", Dead) })
	require.True(t, ok)
	c.SetSeeds([]netipAddrPort{addressOf(3), addressOf(9)})
	w.run(time.Minute)
	require.True(t, w.allSee("n003", Dead))
	require.Len(t, c.Members(), 4, "a seed that does not answer is not a member")
}

// TestFaults crashes, restarts, pauses, stops and partitions nodes while
// datagrams are lost, duplicated and reordered. A node that saw another one as
// left must never see the same incarnation in another state, and after the
// faults all views must become equal and correct.
func TestFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newNetwork(rapid.Uint64().Draw(t, "seed"))
		size := rapid.IntRange(3, 8).Draw(t, "nodes")
		f := &faults{w: w, size: size, left: make(map[string]uint64), observed: make(map[[2]string]uint64), marks: make(map[string]uint64)}
		for i := range size {
			f.start(i)
		}
		w.loss = rapid.Float64Range(0, 0.3).Draw(t, "loss")
		w.duplication = rapid.Float64Range(0, 0.3).Draw(t, "repeat")
		w.delay = time.Duration(rapid.IntRange(1, 400).Draw(t, "delay")) * time.Millisecond
		for range rapid.IntRange(1, 8).Draw(t, "faults") {
			f.inject(t)
			for range rapid.IntRange(1, 80).Draw(t, "steps") {
				w.step()
				f.check(t)
			}
		}
		f.end()
		_, ok := w.runUntil(3*time.Minute, func() bool { return f.isSettled() })
		require.True(t, ok, "views converge after the faults end")
	})
}

// faults injects faults and keeps the actual state of each node.
type faults struct {
	w        *network
	size     int
	left     map[string]uint64    // by node: incarnation that left
	observed map[[2]string]uint64 // by observer, and node or endpoint: incarnation seen as left or leaving
	marks    map[string]uint64    // by endpoint: highest incarnation marked
}

func (f *faults) inject(t *rapid.T) {
	w := f.w
	n := w.nodes[idOf(rapid.IntRange(0, f.size-1).Draw(t, "node"))]
	switch rapid.SampledFrom([]string{"crash", "restart", "pause", "resume", "leave", "partition", "heal", "mark"}).Draw(t, "fault") {
	case "crash":
		n.up = false
	case "restart":
		if !n.up {
			f.restart(n)
		}
	case "pause":
		n.paused = true
	case "resume":
		w.resume(n)
	case "leave":
		if n.up && !n.paused {
			f.left[n.id] = n.incarnation
			w.emit(n, n.core.Depart(w.now))
		}
	case "partition":
		other := idOf(rapid.IntRange(0, f.size-1).Draw(t, "peer"))
		w.blocked[[2]string{n.id, other}] = true
	case "heal":
		clear(w.blocked)
	case "mark":
		if n.up && !n.paused {
			endpoint := fmt.Sprint("engine", rapid.IntRange(0, 3).Draw(t, "endpoint"))
			incarnation := rapid.Uint64Range(1, 3).Draw(t, "incarnation")
			f.marks[endpoint] = max(f.marks[endpoint], incarnation)
			w.emit(n, n.core.MarkLeaving(endpoint, incarnation, w.now))
		}
	}
}

// start starts node i with all nodes as seeds, because a node can't join when
// all of its seeds have left.
func (f *faults) start(i int) {
	f.w.start(i, func(s *Settings) {
		s.Seeds = nil
		for j := range f.size {
			s.Seeds = append(s.Seeds, addressOf(j))
		}
	})
}

func (f *faults) restart(n *node) {
	var i int
	_, _ = fmt.Sscanf(n.id, "n%d", &i)
	f.start(i)
	for key := range f.observed {
		if key[0] == n.id {
			delete(f.observed, key)
		}
	}
}

// check requires that no node loses the state of a node that left or the mark of
// a leaving endpoint, and that no mark covers an incarnation that was not
// marked.
func (f *faults) check(t *rapid.T) {
	for _, n := range f.w.running() {
		for _, m := range n.core.Marks() {
			key := [2]string{n.id, m.Endpoint()}
			require.GreaterOrEqual(t, m.Incarnation(), f.observed[key])
			require.LessOrEqual(t, m.Incarnation(), f.marks[m.Endpoint()])
			f.observed[key] = m.Incarnation()
		}
		for id, incarnation := range f.left {
			m, ok := n.core.Member(id)
			if !ok || m.Incarnation() < incarnation {
				continue
			}
			key := [2]string{n.id, id}
			if m.State() == Left {
				f.observed[key] = m.Incarnation()
			}
			if m.Incarnation() == f.observed[key] {
				require.Equal(t, Left, m.State(), "state of a node that left")
			}
		}
	}
}

// end ends all faults and restarts crashed nodes. Nodes that left stay down.
func (f *faults) end() {
	w := f.w
	w.loss, w.duplication = 0, 0
	w.delay = 20 * time.Millisecond
	clear(w.blocked)
	for _, id := range w.ids() {
		n := w.nodes[id]
		switch {
		case f.left[id] == n.incarnation:
			n.up = false
		case n.paused && n.up:
			w.resume(n)
		case !n.up:
			f.restart(n)
		}
	}
}

// isSettled reports whether all running nodes have the same view, in which
// each running node is alive and no node that left is live.
func (f *faults) isSettled() bool {
	w := f.w
	if !w.agreed() {
		return false
	}
	for _, n := range w.running() {
		for _, id := range w.ids() {
			other := w.nodes[id]
			m, ok := n.core.Member(id)
			switch {
			case other.up && (!ok || m.State() != Alive || m.Incarnation() != other.incarnation):
				return false
			case !other.up && ok && m.IsLive():
				return false
			}
		}
	}
	return true
}

func TestFaultsKeepMarks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newCluster(t, 5, rapid.Uint64().Draw(t, "seed"))
		w.loss = rapid.Float64Range(0, 0.4).Draw(t, "loss")
		var want naiveView
		for range rapid.IntRange(1, 10).Draw(t, "marks") {
			n := w.nodes[idOf(rapid.IntRange(0, 4).Draw(t, "node"))]
			m := markRecord{
				Endpoint:    fmt.Sprint("engine", rapid.IntRange(0, 3).Draw(t, "endpoint")),
				Incarnation: rapid.Uint64Range(1, 4).Draw(t, "incarnation"),
			}
			want.marks = append(want.marks, m)
			w.emit(n, n.core.MarkLeaving(m.Endpoint, m.Incarnation, w.now))
			w.run(time.Duration(rapid.IntRange(0, 10).Draw(t, "steps")) * tickInterval)
		}
		_, ok := w.runUntil(2*time.Minute, w.agreed)
		require.True(t, ok)
		for _, n := range w.running() {
			for e := range 4 {
				for incarnation := uint64(1); incarnation <= 5; incarnation++ {
					endpoint := fmt.Sprint("engine", e)
					require.Equal(t, want.isLeaving(endpoint, incarnation), n.core.IsLeaving(endpoint, incarnation))
				}
			}
		}
	})
}

func TestPausedNodeDeclaresNobodyDead(t *testing.T) {
	w := newCluster(t, 6, 8)
	n := w.nodes["n000"]
	for i := 1; i < 6; i++ {
		w.blocked[[2]string{idOf(i), "n000"}] = true
	}
	_, ok := w.runUntil(time.Minute, func() bool {
		for _, m := range n.core.Members() {
			if m.State() == Suspect {
				return true
			}
		}
		return false
	})
	require.True(t, ok)
	n.paused = true
	clear(w.blocked)
	w.run(time.Minute)
	n.backlog = nil // the kernel buffers only a little of what arrives in a pause
	w.resume(n)
	for range 300 {
		w.step()
		for _, m := range n.core.Members() {
			require.NotEqual(t, Dead, m.State(), m.ID())
		}
	}
	require.True(t, w.complete())
}

// TestTrafficIsBounded spreads 1000 leaving marks at once and checks the bytes
// that each node sends.
func TestTrafficIsBounded(t *testing.T) {
	for _, size := range []int{6, 24} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			w := newCluster(t, size, 9)
			clear(w.bytesSent)
			n := w.nodes["n001"]
			for i := range 1000 {
				w.emit(n, n.core.MarkLeaving(fmt.Sprintf("pumice-engine-%04d", i), 1, w.now))
			}
			const length = 60
			w.run(length * time.Second)
			timing := DefaultTiming()
			limit := timing.Burst + length*timing.Rate + fanout*(maxBody+packetOverhead)
			for id, sent := range w.bytesSent {
				require.LessOrEqual(t, sent, limit, id)
			}
			_, ok := w.runUntil(10*time.Minute, w.agreed)
			require.True(t, ok)
			require.Len(t, w.nodes["n005"].core.Marks(), 1000)
		})
	}
}

// TestAllJoinWhileSeedsAreBusy starts many nodes at once with a low limit of
// bytes to send, so that the seeds can't answer all of them.
func TestAllJoinWhileSeedsAreBusy(t *testing.T) {
	w := newNetwork(1)
	for i := range 80 {
		w.start(i, func(s *Settings) { s.Timing = Timing{Rate: 900, Burst: 6 << 10} })
	}
	took, ok := w.runUntil(4*time.Minute, w.complete)
	require.True(t, ok)
	t.Logf("all joined after %s", took)
}
