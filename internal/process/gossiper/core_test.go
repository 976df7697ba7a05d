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
	require.True(t, ok, "all join")
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

func TestLeaverStaysAwayUntilItsNextIncarnation(t *testing.T) {
	w := newCluster(t, 6, 3)
	n := w.nodes["n002"]
	w.emit(n, n.core.Leave(w.now))
	took, ok := w.runUntil(time.Minute, func() bool { return w.allSee("n002", Leaving) })
	require.True(t, ok)
	t.Logf("leaving in force after %s", took)
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

func TestOneWayCutIsBridgedByOthers(t *testing.T) {
	w := newCluster(t, 6, 4)
	w.cut[[2]string{"n001", "n002"}] = true
	for range 600 {
		w.step()
		m, _ := w.nodes["n002"].core.Member("n001")
		require.Equal(t, Alive, m.State())
	}
}

func TestHalvesFindEachOtherAgain(t *testing.T) {
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
					n.core.SetCandidates(nil)
				}
			}
			w.separate(3, true)
			_, ok := w.runUntil(time.Minute, func() bool {
				m, _ := w.nodes["n000"].core.Member("n005")
				return m.State() == Dead
			})
			require.True(t, ok)
			w.run(time.Minute)
			require.False(t, w.nodes["n000"].core.Contact(w.now, 10*time.Second).HasMost(), "half is not most")
			w.separate(3, false)
			_, ok = w.runUntil(time.Minute, func() bool {
				return w.complete() && w.nodes["n000"].core.Contact(w.now, 10*time.Second).HasMost()
			})
			require.True(t, ok)
		})
	}
}

func TestDeadMembersCountForAWhile(t *testing.T) {
	w := newCluster(t, 6, 10)
	hasMost := func() bool { return w.nodes["n000"].core.Contact(w.now, 10*time.Second).HasMost() }
	crash := func(id string) {
		w.nodes[id].up = false
		_, ok := w.runUntil(time.Minute, func() bool { return w.allSee(id, Dead) })
		require.True(t, ok)
		w.run(20 * time.Second)
	}
	crash("n005")
	crash("n004")
	require.True(t, hasMost(), "four of six")
	w.run(mourning + sweepInterval)
	crash("n003")
	require.True(t, hasMost(), "three of four")
	crash("n002")
	require.False(t, hasMost(), "two of four")
	w.run(2 * mourning)
	require.False(t, hasMost(), "out of touch, nobody is written off")
}

// separate cuts the nodes from the given number on off from the others.
func (w *network) separate(from int, cut bool) {
	for i := range w.nodes {
		for j := range w.nodes {
			if (i < idOf(from)) != (j < idOf(from)) {
				w.cut[[2]string{i, j}] = cut
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

func TestLaggingListBringsNobodyBack(t *testing.T) {
	w := newCluster(t, 4, 7)
	c := w.nodes["n000"].core
	c.MarkLeaving("engine-1", 3, w.now)
	require.True(t, c.IsLeaving("engine-1", 3))
	require.True(t, c.IsLeaving("engine-1", 2))
	require.False(t, c.IsLeaving("engine-1", 4))
	w.nodes["n003"].up = false
	_, ok := w.runUntil(time.Minute, func() bool { return w.allSee("n003", Dead) })
	require.True(t, ok)
	c.SetCandidates([]netipAddrPort{addressOf(3), addressOf(9)})
	w.run(time.Minute)
	require.True(t, w.allSee("n003", Dead))
	require.Len(t, c.Members(), 4, "a candidate that does not answer is no member")
}

// TestFaults lets nodes crash, restart, freeze, leave and lose each other
// under loss, repetition and reordering. At no time may a leaver be seen as
// anything else by a node that knew, and when the faults end, all views must
// become the same and right.
func TestFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newNetwork(rapid.Uint64().Draw(t, "seed"))
		size := rapid.IntRange(3, 8).Draw(t, "nodes")
		f := &faults{w: w, size: size, left: make(map[string]uint64), seen: make(map[[2]string]uint64), marks: make(map[string]uint64)}
		for i := range size {
			f.start(i)
		}
		w.loss = rapid.Float64Range(0, 0.3).Draw(t, "loss")
		w.repeat = rapid.Float64Range(0, 0.3).Draw(t, "repeat")
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

// faults injects faults and knows the truth about each node.
type faults struct {
	w     *network
	size  int
	left  map[string]uint64    // incarnation that left
	seen  map[[2]string]uint64 // observer and leaver or endpoint: incarnation seen leaving
	marks map[string]uint64    // endpoint: highest incarnation marked
}

func (f *faults) inject(t *rapid.T) {
	w := f.w
	n := w.nodes[idOf(rapid.IntRange(0, f.size-1).Draw(t, "node"))]
	switch rapid.SampledFrom([]string{"crash", "restart", "freeze", "thaw", "leave", "cut", "mend", "mark"}).Draw(t, "fault") {
	case "crash":
		n.up = false
	case "restart":
		if !n.up {
			f.restart(n)
		}
	case "freeze":
		n.frozen = true
	case "thaw":
		w.thaw(n)
	case "leave":
		if n.up && !n.frozen {
			f.left[n.id] = n.incarnation
			w.emit(n, n.core.Depart(w.now))
		}
	case "cut":
		other := idOf(rapid.IntRange(0, f.size-1).Draw(t, "peer"))
		w.cut[[2]string{n.id, other}] = true
	case "mend":
		clear(w.cut)
	case "mark":
		if n.up && !n.frozen {
			endpoint := fmt.Sprint("engine", rapid.IntRange(0, 3).Draw(t, "endpoint"))
			incarnation := rapid.Uint64Range(1, 3).Draw(t, "incarnation")
			f.marks[endpoint] = max(f.marks[endpoint], incarnation)
			w.emit(n, n.core.MarkLeaving(endpoint, incarnation, w.now))
		}
	}
}

// start names all nodes as seeds: when all seeds have left, nobody else can be
// found.
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
	for key := range f.seen {
		if key[0] == n.id {
			delete(f.seen, key)
		}
	}
}

// check requires that no node forgets that another left or that an endpoint
// is leaving, and that no mark covers more than somebody marked.
func (f *faults) check(t *rapid.T) {
	for _, n := range f.w.running() {
		for _, m := range n.core.Marks() {
			key := [2]string{n.id, m.Endpoint()}
			require.GreaterOrEqual(t, m.Incarnation(), f.seen[key])
			require.LessOrEqual(t, m.Incarnation(), f.marks[m.Endpoint()])
			f.seen[key] = m.Incarnation()
		}
		for id, incarnation := range f.left {
			m, ok := n.core.Member(id)
			if !ok || m.Incarnation() < incarnation {
				continue
			}
			key := [2]string{n.id, id}
			if m.State() == Left {
				f.seen[key] = m.Incarnation()
			}
			if m.Incarnation() == f.seen[key] {
				require.Equal(t, Left, m.State(), "a leaver came back")
			}
		}
	}
}

// end stops all faults and starts crashed nodes again. Leavers stay away.
func (f *faults) end() {
	w := f.w
	w.loss, w.repeat = 0, 0
	w.delay = 20 * time.Millisecond
	clear(w.cut)
	for _, id := range w.ids() {
		n := w.nodes[id]
		switch {
		case f.left[id] == n.incarnation:
			n.up = false
		case n.frozen && n.up:
			w.thaw(n)
		case !n.up:
			f.restart(n)
		}
	}
}

// isSettled reports whether all running nodes have the same view, in which
// each is alive and those that stopped as planned are not.
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

func TestNodeThatWasFrozenBuriesNobody(t *testing.T) {
	w := newCluster(t, 6, 8)
	n := w.nodes["n000"]
	for i := 1; i < 6; i++ {
		w.cut[[2]string{idOf(i), "n000"}] = true
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
	n.frozen = true
	clear(w.cut)
	w.run(time.Minute)
	n.backlog = nil // the kernel keeps little of what arrives meanwhile
	w.thaw(n)
	for range 300 {
		w.step()
		for _, m := range n.core.Members() {
			require.NotEqual(t, Dead, m.State(), m.ID())
		}
	}
	require.True(t, w.complete())
}

// TestTrafficIsBounded floods a deployment with news and measures what each
// node sends.
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

// TestAllJoinWhileSeedsAreBusy starts many nodes at once that may send little,
// so that the seeds can't answer all of them.
func TestAllJoinWhileSeedsAreBusy(t *testing.T) {
	w := newNetwork(1)
	for i := range 80 {
		w.start(i, func(s *Settings) { s.Timing = Timing{Rate: 900, Burst: 6 << 10} })
	}
	took, ok := w.runUntil(4*time.Minute, w.complete)
	require.True(t, ok)
	t.Logf("all joined after %s", took)
}
