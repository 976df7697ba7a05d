package router_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"hyssoprudder/internal/process/lister"
	"hyssoprudder/internal/process/observer"
	"hyssoprudder/internal/request/router"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}

var epoch = time.Date(2026, 12, 1, 6, 0, 0, 0, time.UTC)

var domains = []string{"focsani", "adjud", "panciu"}

func endpoints(n int, service string) []lister.Endpoint {
	list := make([]lister.Endpoint, n)
	for i := range list {
		list[i] = lister.NewEndpoint(lister.Spec{
			ID: fmt.Sprintf("%s-%d", service, i), Service: service, Version: fmt.Sprint(12 + i%2),
			Domain: domains[i%len(domains)], Class: "a", Price: 1,
			Address: netip.MustParseAddrPort("127.0.0.1:1"),
		})
	}
	return list
}

var targets = map[string]router.Target{"pumice": {First: 1300 * time.Millisecond, Next: 52 * time.Millisecond}}

func policies() map[string]router.Policy {
	all := make(map[string]router.Policy)
	for _, p := range []router.Policy{router.Predictive(), router.RoundRobin(), router.LeastInFlight(), router.TwoChoices()} {
		all[p.Name()] = p
	}
	return all
}

func prompt(seed, words int) string {
	var b strings.Builder
	for i := range words {
		fmt.Fprintf(&b, "w%d-%d ", seed, i)
	}
	return b.String()
}

func callOf(text string) router.Call {
	words, prefixes := router.Prefixes(text)
	return router.Call{Service: "pumice", Route: "answers", Words: words, Prefixes: prefixes, Decode: 64}
}

// In every state, the chosen endpoint belongs to the service, is not leaving, not
// excluded and not of a version without a share; and an endpoint is chosen if there
// is such an endpoint.
func TestChooseReturnsOnlyAllowedEndpoints(t *testing.T) {
	for name, policy := range policies() {
		t.Run(name, rapid.MakeCheck(func(t *rapid.T) {
			o := observer.New(epoch)
			r := router.New(o, "focsani", policy)
			all := endpoints(rapid.IntRange(1, 12).Draw(t, "n"), "pumice")
			r.Update(append(endpoints(3, "bookings"), all...), targets)
			closed := rapid.SampledFrom([]string{"", "12", "13"}).Draw(t, "closed")
			r.VersionWeight = func(_, _, version string) float64 {
				if version == closed {
					return 0
				}
				return 1
			}
			call := callOf(prompt(rapid.IntRange(0, 5).Draw(t, "prompt"), rapid.IntRange(0, 200).Draw(t, "words")))
			allowed := make(map[string]bool)
			for _, e := range all {
				id := e.ID()
				leaving := rapid.Bool().Draw(t, "leaving")
				o.SetLeaving(id, leaving)
				if excluded := rapid.Bool().Draw(t, "excluded"); excluded {
					call.Exclude = append(call.Exclude, id)
				}
				for range rapid.IntRange(0, 5).Draw(t, "failures") {
					o.Start(epoch, id, observer.Work{Prompt: 10, Decode: 5}).End(epoch, observer.Failed)
				}
				for range rapid.IntRange(0, 5).Draw(t, "running") {
					o.Start(epoch, id, observer.Work{Prompt: 10, Decode: 5})
				}
				allowed[id] = !leaving && !slices.Contains(call.Exclude, id) && e.Version() != closed
			}
			call.AvoidDomain = rapid.SampledFrom(append([]string{""}, domains...)).Draw(t, "avoid")
			choice, ok := r.Choose(epoch.Add(time.Millisecond), call)
			if !ok {
				for id, may := range allowed {
					require.False(t, may, "no endpoint chosen, but %s is allowed", id)
				}
				return
			}
			require.True(t, allowed[choice.Endpoint().ID()], choice.Endpoint().ID())
		}))
	}
}

func TestEjectedEndpointsGetNoCallsUntilTooManyAre(t *testing.T) {
	o := observer.New(epoch)
	r := router.New(o, "focsani", router.Predictive())
	r.Update(endpoints(6, "pumice"), targets)
	eject := func(id string) { o.Start(epoch, id, observer.Work{}).End(epoch, observer.Refused) }
	chosen := func() map[string]bool {
		ids := make(map[string]bool)
		for i := range 200 {
			choice, ok := r.Choose(epoch.Add(time.Millisecond), callOf(prompt(i, 20)))
			require.True(t, ok)
			ids[choice.Endpoint().ID()] = true
		}
		return ids
	}
	eject("pumice-0")
	eject("pumice-1")
	eject("pumice-2")
	require.Equal(t, map[string]bool{"pumice-3": true, "pumice-4": true, "pumice-5": true}, chosen())
	eject("pumice-3")
	var running []*observer.Call
	for _, id := range []string{"pumice-4", "pumice-5"} {
		for range 200 {
			running = append(running, o.Start(epoch, id, observer.Work{Prompt: 500, Decode: 100}))
		}
	}
	require.Greater(t, len(chosen()), 2, "under overload, ejected endpoints get calls when most are ejected")
	for _, call := range running {
		call.End(epoch, observer.Canceled)
	}
	for i := range 6 {
		eject(fmt.Sprintf("pumice-%d", i))
	}
	require.Len(t, chosen(), 6, "all endpoints stay in use when most have failed")
}

// Compares with a simple model that knows exactly what was sent: the cached words of
// the chosen endpoint must equal those of the model.
func TestRecordedPrefixesMatchModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := router.New(observer.New(epoch), "focsani", router.Predictive())
		r.Update(endpoints(3, "pumice"), targets)
		sent := make(map[string]map[uint64]bool)
		for range rapid.IntRange(0, 20).Draw(t, "sends") {
			id := fmt.Sprintf("pumice-%d", rapid.IntRange(0, 2).Draw(t, "endpoint"))
			_, prefixes := router.Prefixes(prompt(rapid.IntRange(0, 3).Draw(t, "prompt"), rapid.IntRange(0, 400).Draw(t, "words")))
			if sent[id] == nil {
				sent[id] = make(map[uint64]bool)
			}
			for _, p := range prefixes {
				sent[id][p] = true
			}
			r.RecordPrefixes(id, prefixes)
		}
		call := callOf(prompt(rapid.IntRange(0, 3).Draw(t, "prompt"), rapid.IntRange(0, 400).Draw(t, "words")))
		choice, ok := r.Choose(epoch, call)
		require.True(t, ok)
		want := 0
		for k, p := range call.Prefixes {
			if sent[choice.Endpoint().ID()][p] {
				want = (k + 1) * router.BlockWords
			}
		}
		require.Equal(t, want, choice.Cached())
	})
}

func TestEventsLateRepeatedAndWithGaps(t *testing.T) {
	r := router.New(observer.New(epoch), "focsani", router.Predictive())
	r.Update(endpoints(1, "pumice"), targets)
	call := callOf(prompt(1, 32))
	cached := func() int {
		choice, _ := r.Choose(epoch, call)
		return choice.Cached()
	}
	r.ApplyEvents("pumice-0", []router.Event{{Sequence: 5, Prefix: call.Prefixes[0]}, {Sequence: 9, Prefix: call.Prefixes[1]}})
	require.Equal(t, 32, cached())
	r.ApplyEvents("pumice-0", []router.Event{{Sequence: 7, Drop: true, Prefix: call.Prefixes[1]}})
	require.Equal(t, 32, cached(), "a late event must be ignored")
	r.ApplyEvents("pumice-0", []router.Event{{Sequence: 12, Drop: true, Prefix: call.Prefixes[1]}})
	require.Equal(t, 16, cached())
}

// Entries that do not communicate must send prompts with the same prefix to the same
// endpoint, without overloading it by a prefix that all prompts share.
func TestEntriesAgreeOnAffinityEndpoint(t *testing.T) {
	promptsOf := make(map[string]map[int]bool)
	for range 6 {
		r := router.New(observer.New(epoch), "focsani", router.Predictive())
		r.Distance = func(string) time.Duration { return 0 }
		r.Update(endpoints(9, "pumice"), targets)
		for text := range 20 {
			choice, _ := r.Choose(epoch, callOf(prompt(text, 64)))
			id := choice.Endpoint().ID()
			if promptsOf[id] == nil {
				promptsOf[id] = make(map[int]bool)
			}
			promptsOf[id][text] = true
		}
	}
	total := 0
	for _, texts := range promptsOf {
		total += len(texts)
	}
	require.Equal(t, 20, total, "all entries send a prompt to the same endpoint")
	require.Greater(t, len(promptsOf), 4)
}

// Neither estimates nor updates with the same endpoints may disturb the rotation.
func TestRoundRobinTakesEachEndpointInTurn(t *testing.T) {
	r := router.New(observer.New(epoch), "focsani", router.RoundRobin())
	seen := make(map[string]int)
	for range 60 {
		r.Update(endpoints(6, "pumice"), targets)
		estimate, _ := r.Estimate(epoch, router.Call{Service: "pumice"})
		choice, _ := r.Choose(epoch, router.Call{Service: "pumice"})
		require.Equal(t, estimate.Endpoint().ID(), choice.Endpoint().ID())
		seen[choice.Endpoint().ID()]++
	}
	for id, n := range seen {
		require.Equal(t, 10, n, id)
	}
	require.Len(t, seen, 6)
}

// The usual duration of calls must not count as a wait of further calls: a service
// with free slots has room.
func TestRoomIgnoresDurationOfCalls(t *testing.T) {
	o := observer.New(epoch)
	r := router.New(o, "focsani", router.Predictive())
	r.Update(endpoints(3, "pumice"), targets)
	now := epoch
	for i := range 60 {
		call := o.Start(now, fmt.Sprintf("pumice-%d", i%3), observer.Work{Prompt: 20, Decode: 100})
		for range 100 {
			now = now.Add(20 * time.Millisecond)
			call.Token(now, 1)
		}
		call.End(now, observer.Done)
	}
	room := r.Room(now, "pumice")
	require.Greater(t, room.Free(), 10.0)
	require.Less(t, room.First(), time.Second)
}

// peakOverMean simulates six entries whose state of each other is refreshed after
// every period calls. It returns the highest load of an endpoint over the mean load,
// which shows how much the entries herd.
func peakOverMean(policy router.Policy, seed uint64) float64 {
	const entries, n, period, rounds = 6, 9, 54, 20
	random := rand.New(rand.NewPCG(seed, seed))
	tables := make([]*observer.Observer, entries)
	routers := make([]*router.Router, entries)
	for e := range entries {
		tables[e] = observer.New(epoch)
		routers[e] = router.New(tables[e], domains[e%3], policy)
		routers[e].Random = random.Float64
		routers[e].Update(endpoints(n, "pumice"), targets)
	}
	type running struct {
		call *observer.Call
		id   string
	}
	var inFlight []running
	loads := make(map[string]int)
	now, ratio := epoch, 0.0
	for range rounds {
		for i := range period {
			now = now.Add(5 * time.Millisecond)
			e := i % entries
			choice, _ := routers[e].Choose(now, callOf(prompt(random.IntN(1<<30), 40)))
			id := choice.Endpoint().ID()
			inFlight = append(inFlight, running{call: tables[e].Start(now, id, choice.Work()), id: id})
			loads[id]++
		}
		peak := 0
		for _, load := range loads {
			peak = max(peak, load)
		}
		ratio += float64(peak) * n / float64(len(inFlight)) / rounds
		for len(inFlight) > 2*period {
			i := random.IntN(len(inFlight))
			inFlight[i].call.End(now, observer.Done)
			loads[inFlight[i].id]--
			inFlight = slices.Delete(inFlight, i, i+1)
		}
		for e, o := range tables {
			data, _ := o.Digest(now)
			for other, p := range tables {
				if other != e {
					_ = p.Merge(now, fmt.Sprint(e), data)
				}
			}
		}
	}
	return ratio
}

func TestEntriesWithStaleKnowledgeDoNotHerd(t *testing.T) {
	means := make(map[string]float64)
	for name, policy := range policies() {
		for seed := range uint64(5) {
			means[name] += peakOverMean(policy, seed) / 5
		}
	}
	t.Logf("highest load over mean load: %v", means)
	require.Less(t, means["predictive"], 1.25)
	require.Less(t, means["predictive"], means["twochoices"])
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{10, 100, 810} {
		for name, policy := range policies() {
			b.Run(fmt.Sprintf("%s/endpoints=%d", name, n), func(b *testing.B) {
				o := observer.New(epoch)
				r := router.New(o, "focsani", policy)
				list := endpoints(n, "pumice")
				r.Update(list, targets)
				calls := make([]router.Call, 64)
				for i := range calls {
					calls[i] = callOf(prompt(i%16, 512))
					r.RecordPrefixes(list[i%n].ID(), calls[i].Prefixes[:8+i%24])
				}
				now := epoch
				b.ReportAllocs()
				for i := 0; b.Loop(); i++ {
					now = now.Add(time.Millisecond)
					_, _ = r.Choose(now, calls[i%len(calls)])
				}
			})
		}
	}
}

func TestRoomExcludesEndpointsWithoutCalls(t *testing.T) {
	o := observer.New(epoch)
	r := router.New(o, "focsani", router.Predictive())
	r.Update(endpoints(6, "pumice"), targets)
	all := r.Room(epoch, "pumice").Limit()
	r.VersionWeight = func(_, _, version string) float64 {
		if version == "13" {
			return 0
		}
		return 1
	}
	require.InDelta(t, all/2, r.Room(epoch, "pumice").Limit(), 1e-9)
	o.SetLeaving("pumice-0", true)
	o.Start(epoch, "pumice-2", observer.Work{}).End(epoch, observer.Refused)
	require.InDelta(t, all/6, r.Room(epoch, "pumice").Limit(), 1e-9)
	require.Zero(t, r.Room(epoch, "bookings").Free())
}

func BenchmarkRoom(b *testing.B) {
	for _, n := range []int{10, 100, 810} {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			r := router.New(observer.New(epoch), "focsani", router.Predictive())
			r.Update(endpoints(n, "pumice"), targets)
			now := epoch
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Millisecond)
				_ = r.Room(now, "pumice")
			}
		})
	}
}

// BenchmarkMemory measures the memory of a router whose prefix index is full.
func BenchmarkMemory(b *testing.B) {
	for _, n := range []int{10, 100, 810} {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			for b.Loop() {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				r := router.New(observer.New(epoch), "focsani", router.Predictive())
				list := endpoints(n, "pumice")
				r.Update(list, targets)
				random := rand.New(rand.NewPCG(1, 1))
				prefixes := make([]uint64, 1<<10)
				for i := range 1 << 8 {
					for k := range prefixes {
						prefixes[k] = random.Uint64()
					}
					for copies := range 3 {
						r.RecordPrefixes(list[(i+copies)%n].ID(), prefixes)
					}
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/(1<<20), "MB")
				runtime.KeepAlive(r)
			}
		})
	}
}
