package observer_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"hyssoprudder/internal/process/observer"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}

var epoch = time.Date(2026, 12, 1, 6, 0, 0, 0, time.UTC)

// The counts of own calls equal those of a naive list of the calls, with events in any order,
// repeated, and after the end of a call.
func TestOwnCallsMatchNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := observer.New(epoch)
		now := epoch
		type naive struct {
			call  *observer.Call
			id    string
			ended bool
		}
		var calls []naive
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "wait")) * time.Millisecond)
			if len(calls) == 0 || rapid.Bool().Draw(t, "start") {
				id := fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "id"))
				work := observer.Work{Prompt: rapid.IntRange(0, 100).Draw(t, "prompt"), Decode: rapid.IntRange(0, 9).Draw(t, "decode")}
				calls = append(calls, naive{call: o.Start(now, id, work), id: id})
				continue
			}
			c := &calls[rapid.IntRange(0, len(calls)-1).Draw(t, "call")]
			if rapid.Bool().Draw(t, "token") {
				c.call.Token(now, rapid.IntRange(0, 12).Draw(t, "tokens"))
				continue
			}
			c.call.End(now, observer.Result(rapid.IntRange(0, 3).Draw(t, "result")))
			c.ended = true
		}
		for i := range 4 {
			inFlight := 0
			for _, c := range calls {
				if c.id == fmt.Sprint(i) && !c.ended {
					inFlight++
				}
			}
			load := o.Load(fmt.Sprint(i))
			require.Equal(t, inFlight, load.OwnInFlight())
			require.GreaterOrEqual(t, load.First(now, observer.Work{Prompt: 1, Decode: 1}), time.Duration(0))
		}
	})
}

// The other entries' calls are the sum of the newest digest of each entry, in whatever order
// digests arrive, and are dropped when an entry stops sending digests.
func TestDigestsMergeToTheNewestOfEachEntry(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		reader := observer.New(epoch)
		type sent struct {
			node  int
			data  []byte
			calls int
			at    int
		}
		var all []sent
		observers := []*observer.Observer{observer.New(epoch), observer.New(epoch), observer.New(epoch)}
		counts := make([]int, len(observers))
		for i := range rapid.IntRange(1, 20).Draw(t, "digests") {
			node := rapid.IntRange(0, 2).Draw(t, "node")
			for range rapid.IntRange(0, 3).Draw(t, "calls") {
				observers[node].Start(epoch, "a", observer.Work{})
				counts[node]++
			}
			data, err := observers[node].Digest(epoch.Add(time.Duration(i + 1)))
			require.NoError(t, err)
			all = append(all, sent{node: node, data: data, calls: counts[node], at: i})
		}
		newest := make(map[int]sent)
		for _, s := range rapid.Permutation(all).Draw(t, "order") {
			require.NoError(t, reader.Merge(epoch, fmt.Sprint(s.node), s.data))
			if old, ok := newest[s.node]; !ok || s.at > old.at {
				newest[s.node] = s
			}
		}
		want := 0
		for _, s := range newest {
			want += s.calls
		}
		load := reader.Load("a")
		require.InDelta(t, float64(want), load.InFlight(epoch), 1e-9)
		reader.Sweep(epoch.Add(time.Minute))
		load = reader.Load("a")
		require.InDelta(t, 0, load.InFlight(epoch.Add(time.Minute)), 1e-9)
		require.Zero(t, reader.Peers())
	})
}

func TestBrokenDigestIsAnError(t *testing.T) {
	require.Error(t, observer.New(epoch).Merge(epoch, "b", []byte{0xc1}))
}

func TestEstimatesFollowASlowEndpoint(t *testing.T) {
	o := observer.New(epoch)
	now := epoch
	work := observer.Work{Prompt: 100, Decode: 20}
	fresh := o.Load("slow")
	for range 20 {
		call := o.Start(now, "slow", work)
		now = now.Add(time.Second)
		call.Token(now, 1)
		for range 19 {
			now = now.Add(100 * time.Millisecond)
			call.Token(now, 1)
		}
		call.End(now, observer.Done)
	}
	load := o.Load("slow")
	require.InDelta(t, 1.0, load.First(now, work).Seconds(), 0.3)
	require.InDelta(t, 0.1, load.Next(now, 1).Seconds(), 0.03)
	require.Less(t, fresh.First(epoch, work), load.First(now, work))
}

// The other entries' calls are assumed to have changed since their digest as the entry's own
// calls did, which a naive history of its calls verifies.
func TestPeersAreAssumedToActAlike(t *testing.T) {
	const step, slots = 25 * time.Millisecond, 64
	rapid.Check(t, func(t *rapid.T) {
		o, peer := observer.New(epoch), observer.New(epoch)
		now, digested := epoch, epoch
		merge := func() {
			data, err := peer.Digest(now)
			require.NoError(t, err)
			require.NoError(t, o.Merge(now, "peer", data))
			digested = now
		}
		now = now.Add(time.Millisecond)
		merge()
		var calls []*observer.Call
		history := make(map[int64]int) // own calls at the end of a step
		last := int64(0)
		for range rapid.IntRange(1, 40).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.SampledFrom([]int{0, 3, 30, 400, 1700}).Draw(t, "wait")) * time.Millisecond)
			switch rapid.IntRange(0, 2).Draw(t, "event") {
			case 0:
				calls = append(calls, o.Start(now, "a", observer.Work{}))
			case 1:
				if len(calls) == 0 {
					continue
				}
				calls[0].End(now, observer.Canceled)
				calls = calls[1:]
			default:
				merge()
				continue
			}
			last = now.UnixNano() / int64(step)
			history[last] = len(calls)
		}
		age := min(now.Sub(digested), 3*time.Second)
		bucket, earlier := now.Add(-age).UnixNano()/int64(step), 0
		if last == 0 {
			return
		}
		for b := max(bucket, last-slots+1); b > 0; b-- {
			if count, ok := history[b]; ok {
				earlier = count
				break
			}
			if b < epoch.UnixNano()/int64(step) {
				break
			}
		}
		load := o.Load("a")
		require.InDelta(t, max(float64(len(calls)-earlier), 0), load.InFlight(now)-float64(len(calls)), 1e-9)
	})
}

// After an ejection one call at a time is sent to the endpoint until one is answered, whatever
// else is in flight there.
func TestEjectionEndsWithOneProbeAtATime(t *testing.T) {
	o := observer.New(epoch)
	ejected := func(now time.Time) bool {
		load := o.Load("a")
		return load.Ejected(now)
	}
	o.Start(epoch, "a", observer.Work{Decode: 1000}) // stays in flight
	o.Start(epoch, "a", observer.Work{}).End(epoch, observer.Refused)
	require.True(t, ejected(epoch))
	later := epoch.Add(time.Minute)
	require.False(t, ejected(later))
	probe := o.Start(later, "a", observer.Work{})
	require.True(t, ejected(later))
	probe.End(later, observer.Failed)
	require.True(t, ejected(later), "the ejection is longer")
	later = later.Add(time.Minute)
	probe = o.Start(later, "a", observer.Work{})
	probe.End(later, observer.Done)
	require.False(t, ejected(later))
	o.Start(later, "a", observer.Work{})
	require.False(t, ejected(later))
}

func TestSilentEndpointIsPredictedToBeLate(t *testing.T) {
	o := observer.New(epoch)
	call := o.Start(epoch, "frozen", observer.Work{Prompt: 10, Decode: 50})
	call.Token(epoch.Add(10*time.Millisecond), 1)
	before := o.Load("frozen")
	after := before
	require.Greater(t, after.First(epoch.Add(5*time.Second), observer.Work{}), before.First(epoch, observer.Work{})+3*time.Second)
}

func TestReportsReachPeersInDigests(t *testing.T) {
	reader, other := observer.New(epoch), observer.New(epoch)
	for i := range 200 {
		id := fmt.Sprintf("pumice-focsani-%d", i)
		reader.Report(id, observer.Report{At: epoch.Add(-time.Second), Running: 7, Queued: 2, Slots: 16, Prefill: 4000, Decode: 40})
		reader.Start(epoch, id, observer.Work{Prompt: 100, Decode: 10})
	}
	data, err := reader.Digest(epoch)
	require.NoError(t, err)
	require.LessOrEqual(t, len(data), observer.MaxDigest)
	require.NoError(t, other.Merge(epoch, "reader", data))
	known := 0
	for i := range 200 {
		load := other.Load(fmt.Sprintf("pumice-focsani-%d", i))
		if load.Known() {
			known++
			own := reader.Load(load.ID())
			require.Equal(t, own.Reported(), load.Reported())
		}
	}
	require.Greater(t, known, 5)
	again, err := other.Digest(epoch)
	require.NoError(t, err)
	require.Less(t, len(again), 50, "a report from a digest is not forwarded")
}

func BenchmarkDigest(b *testing.B) {
	for _, n := range []int{3, 9, 18, 30} {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			o := observer.New(epoch)
			for i := range n {
				id := fmt.Sprintf("pumice-focsani-%d", i)
				o.Start(epoch, id, observer.Work{Prompt: 1000, Decode: 10})
				if i%6 == 0 {
					o.Report(id, observer.Report{At: epoch, Running: 7, Slots: 16, Prefill: 4000, Decode: 40})
				}
			}
			b.ReportAllocs()
			size := 0
			for b.Loop() {
				data, _ := o.Digest(epoch)
				size = len(data)
			}
			b.ReportMetric(float64(size), "digest-bytes")
		})
	}
}
