package proposer_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"hyssoprudder/internal/connection/messenger"
	"hyssoprudder/internal/process/applier"
	"hyssoprudder/internal/process/clock"
	"hyssoprudder/internal/process/keeper"
	"hyssoprudder/internal/process/proposer"
)

// testCluster is a number of keepers, and a node without a disk, on loopback.
type testCluster struct {
	nodes      []*messenger.Messenger
	logs       []string
	keepers    [][]*keeper.Keeper // by node and log
	client     *messenger.Messenger
	registries []*prometheus.Registry
	proposers  []*proposer.Proposer
}

func freePort(t testing.TB) netip.AddrPort {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	return netip.MustParseAddrPort(l.Addr().String())
}

func newMessenger(t testing.TB, id string, at netip.AddrPort, registry *prometheus.Registry) *messenger.Messenger {
	m, err := messenger.New(messenger.Config{
		ID: id, Incarnation: 1, Listen: at, Key: []byte("0123456789abcdef0123456789abcdef"),
		Clock: clock.System{}, Log: log.New(io.Discard), Registerer: registry,
	})
	require.NoError(t, err)
	return m
}

func newTestCluster(t testing.TB, size, logs int, election time.Duration) *testCluster {
	s := &testCluster{}
	var peers []keeper.Peer
	var addresses []netip.AddrPort
	for i := range size {
		at := freePort(t)
		peers = append(peers, keeper.Peer{Name: fmt.Sprint("k", i), Address: at})
		addresses = append(addresses, at)
		s.registries = append(s.registries, prometheus.NewRegistry())
		s.nodes = append(s.nodes, newMessenger(t, fmt.Sprint("k", i), at, s.registries[i]))
	}
	for i := range logs {
		s.logs = append(s.logs, fmt.Sprint("log", i))
	}
	folder := t.TempDir()
	for i, m := range s.nodes {
		s.keepers = append(s.keepers, nil)
		for _, name := range s.logs {
			k, err := keeper.New(keeper.Config{
				Journal: name, Name: peers[i].Name, Folder: filepath.Join(folder, peers[i].Name), Peers: peers,
				Clock: clock.System{}, Log: log.New(io.Discard), Call: m.Call, Register: m.Register, Applier: applier.New(),
				ElectionTimeout: election, HeartbeatInterval: election / 4,
			})
			require.NoError(t, err)
			s.keepers[i] = append(s.keepers[i], k)
		}
		require.NoError(t, m.Start())
		for _, k := range s.keepers[i] {
			require.NoError(t, k.Start())
		}
	}
	s.client = newMessenger(t, "client", freePort(t), prometheus.NewRegistry())
	require.NoError(t, s.client.Start())
	for _, name := range s.logs {
		p, err := proposer.New(proposer.Config{
			Journal: name, Keepers: addresses, Clock: clock.System{}, Log: log.New(io.Discard), Call: s.client.Call,
			IsNotRun: func(err error) bool { return errors.Is(err, messenger.ErrUnsent) || errors.Is(err, messenger.ErrBusy) },
		})
		require.NoError(t, err)
		p.Start()
		s.proposers = append(s.proposers, p)
	}
	t.Cleanup(s.stop)
	return s
}

func (s *testCluster) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	for _, p := range s.proposers {
		p.Stop()
	}
	ended, end := context.WithCancel(ctx)
	end()
	for _, list := range s.keepers {
		for _, k := range list {
			_ = k.Stop(ended)
		}
	}
	for _, m := range append(s.nodes, s.client) {
		_ = m.Stop(ctx)
	}
}

// leader waits for the node that holds the lease of a log.
func (s *testCluster) leader(t testing.TB, journal int) int {
	found := -1
	require.Eventually(t, func() bool {
		found = slices.IndexFunc(s.keepers, func(list []*keeper.Keeper) bool {
			_, ok := list[journal].Lease()
			return ok
		})
		return found >= 0
	}, time.Minute, time.Millisecond)
	return found
}

func TestProposalsSurviveCutLinksOnLoopback(t *testing.T) {
	s := newTestCluster(t, 3, 1, 300*time.Millisecond)
	p := s.proposers[0]
	accepted := uint64(0)
	apply := func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		r, err := p.Propose(ctx, rule(fmt.Sprint("change-", accepted), accepted))
		require.NoError(t, err)
		require.Equal(t, applier.RuleAccepted, r.Rule.Outcome)
		accepted++
		require.Equal(t, accepted, r.Rule.Revision)
	}
	for range 3 {
		for range 10 {
			apply()
		}
		leader := s.leader(t, 0)
		s.nodes[leader].SetFilter(func(netip.AddrPort, bool) bool { return true })
		apply()
		_, holds := s.keepers[leader][0].Lease()
		require.False(t, holds, "the partitioned leader still holds a lease")
		s.nodes[leader].SetFilter(nil)
	}
	rev, err := p.Rules(context.Background())
	require.NoError(t, err)
	require.Equal(t, accepted, rev.Number)
}

// BenchmarkCommit measures the rate at which a leader commits commands in consecutive groups,
// and the latency of a group.
func BenchmarkCommit(b *testing.B) {
	for _, size := range []int{3, 5} {
		for _, batch := range []int{1, 8, 64, 512} {
			b.Run(fmt.Sprintf("keepers=%d/batch=%d", size, batch), func(b *testing.B) {
				s := newTestCluster(b, size, 1, keeper.DefaultElectionTimeout)
				k := s.keepers[s.leader(b, 0)][0]
				h := hdrhistogram.New(1, int64(time.Minute), 3)
				n := 0
				for b.Loop() {
					var commands []applier.Command
					for range batch {
						n++
						commands = append(commands, claim(n, "r"))
					}
					start := time.Now()
					_, err := k.ProposeAll(context.Background(), commands)
					require.NoError(b, err)
					require.NoError(b, h.RecordValue(int64(time.Since(start))))
				}
				report(b, h, n, "commands/s")
			})
		}
	}
}

func claim(n int, request string) applier.Command {
	return applier.Command{ClaimGrant: &applier.ClaimGrant{
		Customer: "masons", Key: fmt.Sprint("order-", n), BodyHash: "0123456789abcdef0123456789abcdef", Entry: "entry-1",
		Request: fmt.Sprint("3f1c2a52-0000-4000-8000-", request, n), Deadline: time.Now().UnixNano(), Retention: time.Minute,
	}}
}

func report(b *testing.B, h *hdrhistogram.Histogram, n int, unit string) {
	b.ReportMetric(float64(n)/b.Elapsed().Seconds(), unit)
	b.ReportMetric(float64(h.ValueAtQuantile(50))/1e6, "p50-ms")
	b.ReportMetric(float64(h.ValueAtQuantile(99))/1e6, "p99-ms")
}

// BenchmarkClaims measures claims that callers at a node without a disk obtain and finish, by
// the number of callers and logs.
func BenchmarkClaims(b *testing.B) {
	for _, logs := range []int{1, 2, 4} {
		for _, callers := range []int{16, 256, 1024} {
			b.Run(fmt.Sprintf("logs=%d/callers=%d", logs, callers), func(b *testing.B) {
				s := newTestCluster(b, 3, logs, keeper.DefaultElectionTimeout)
				for i := range logs {
					s.leader(b, i)
				}
				sharder := proposer.NewSharder(s.proposers...)
				work := &claimLoad{sharder: sharder, limit: int64(b.N), wg: new(sync.WaitGroup), h: hdrhistogram.New(1, int64(time.Minute), 3)}
				b.ResetTimer()
				for range callers {
					work.wg.Add(1)
					go work.run()
				}
				work.wg.Wait()
				b.StopTimer()
				require.Zero(b, work.failed.Load())
				report(b, work.h, b.N, "claims/s")
			})
		}
	}
}

type claimLoad struct {
	sharder *proposer.Sharder
	next    atomic.Int64
	limit   int64
	failed  atomic.Int64
	wg      *sync.WaitGroup
	mu      sync.Mutex
	h       *hdrhistogram.Histogram // of the time to the grant
}

func (w *claimLoad) run() {
	defer w.wg.Done()
	for {
		n := w.next.Add(1)
		if n > w.limit {
			return
		}
		c := claim(int(n), "r")
		start := time.Now()
		r, err := w.sharder.Propose(context.Background(), c)
		took := time.Since(start)
		if err != nil || r.Claim.Outcome != applier.ClaimGranted {
			w.failed.Add(1)
			continue
		}
		w.mu.Lock()
		_ = w.h.RecordValue(int64(took))
		w.mu.Unlock()
		g := c.ClaimGrant
		_, err = w.sharder.Propose(context.Background(), applier.Command{ClaimFinish: &applier.ClaimFinish{
			Customer: g.Customer, Key: g.Key, Request: g.Request, Outcome: applier.OutcomeDone,
			Answer: &applier.Answer{Status: 201, Body: make([]byte, 200)},
		}})
		if err != nil {
			w.failed.Add(1)
		}
	}
}

// BenchmarkIdle measures what idle keepers use: bytes sent per second and the fraction of a CPU
// core, per keeper. Run it with -benchtime 10s.
func BenchmarkIdle(b *testing.B) {
	for _, size := range []int{3, 5} {
		for _, logs := range []int{1, 4} {
			b.Run(fmt.Sprintf("keepers=%d/logs=%d", size, logs), func(b *testing.B) {
				s := newTestCluster(b, size, logs, keeper.DefaultElectionTimeout)
				for i := range logs {
					s.leader(b, i)
				}
				before, cpu := s.sentBytes(b), cpuTime(b)
				start := time.Now()
				for b.Loop() {
					time.Sleep(10 * time.Second)
				}
				seconds := time.Since(start).Seconds() * float64(size)
				b.ReportMetric((s.sentBytes(b)-before)/seconds, "sent-B/s")
				b.ReportMetric((cpuTime(b)-cpu).Seconds()/seconds*100, "core-%")
			})
		}
	}
}

// sentBytes returns the number of bytes that all keepers have sent.
func (s *testCluster) sentBytes(b *testing.B) float64 {
	total := 0.0
	for _, r := range s.registries {
		families, err := r.Gather()
		require.NoError(b, err)
		for _, f := range families {
			if f.GetName() == "hyssoprudder_messenger_sent_bytes_total" {
				for _, m := range f.GetMetric() {
					total += m.GetCounter().GetValue()
				}
			}
		}
	}
	return total
}

func cpuTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
