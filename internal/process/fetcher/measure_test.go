package fetcher

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"hyssoprudder/internal/connection/messenger"
	"hyssoprudder/internal/process/clock"
	"hyssoprudder/internal/process/gossiper"
)

// BenchmarkControl measures the cost of the control traffic for a node, and the time until an update is in
// force at all nodes, for several numbers of nodes. All nodes run in this process, each with its own messenger
// on loopback:
//
//	go test -run '^$' -bench Control -benchtime 1x ./internal/process/fetcher
func BenchmarkControl(b *testing.B) {
	for _, n := range []int{6, 24, 96, 370} {
		b.Run(fmt.Sprintf("nodes=%d", n), func(b *testing.B) {
			f := newDeployment(b, n)
			f.reportCost(b, 20*time.Second)
			for range b.N {
				f.reportPropagation(b)
			}
		})
	}
}

const (
	cellSize   = 8
	digestSize = 300 // bytes
	rulesSize  = 16 << 10
	keepers    = 3
	udpHeaders = 28 // bytes of the IP and UDP headers
)

type member struct {
	messenger *messenger.Messenger
	gossiper  *gossiper.Gossiper
	fetcher   *Fetcher
	registry  *prometheus.Registry
}

// deployment is a set of nodes inside this process.
type deployment struct {
	members []*member
	done    chan struct{}
	group   sync.WaitGroup

	mu      sync.Mutex
	reached map[string][]time.Time // update to the times at which it reached the nodes
	changed *sync.Cond
	number  uint64
}

func newDeployment(b *testing.B, n int) *deployment {
	b.Helper()
	f := &deployment{reached: make(map[string][]time.Time), done: make(chan struct{})}
	f.changed = sync.NewCond(&f.mu)
	var seeds []netip.AddrPort
	for i := range n {
		m := f.start(b, i, seeds)
		f.members = append(f.members, m)
		if len(seeds) < keepers {
			seeds = append(seeds, m.messenger.Address())
		}
	}
	f.group.Add(1)
	go f.publishLoop()
	b.Cleanup(f.stop)
	require.Eventually(b, f.isComplete, 10*time.Minute, 100*time.Millisecond)
	return f
}

func (f *deployment) start(b *testing.B, i int, seeds []netip.AddrPort) *member {
	m := &member{registry: prometheus.NewRegistry()}
	discard := log.New(io.Discard)
	var err error
	id := fmt.Sprintf("vrancea-entry-%03d", i)
	m.messenger, err = messenger.New(messenger.Config{
		ID: id, Incarnation: uint64(time.Now().UnixNano()), Listen: netip.MustParseAddrPort("127.0.0.1:0"),
		Key: []byte("0123456789abcdef"), Clock: clock.System{}, Log: discard, Registerer: m.registry,
	})
	require.NoError(b, err)
	roles := gossiper.Entry
	if i < keepers {
		roles |= gossiper.Keeper
	}
	m.gossiper, err = gossiper.New(gossiper.Config{
		Settings: gossiper.Settings{
			ID: id, Incarnation: 1, Domain: "focsani", Cell: fmt.Sprint("cell", i/cellSize), Roles: roles, Seeds: seeds,
		},
		Send: m.messenger.Send, Clock: clock.System{}, Log: discard, Registerer: m.registry,
		OnMark:     func(mark gossiper.Mark) { f.recordReached(mark.Endpoint()) },
		OnRevision: func(r gossiper.Revision) { m.fetcher.ReceiveRevision(r) },
	})
	require.NoError(b, err)
	c := Config{
		MaxStaleness: 10 * time.Second, Clock: clock.System{}, Log: discard,
		Apply: func(body Body) error { f.recordReached(revisionName(body.Revision.Number)); return nil },
	}
	c.Connect(m.messenger, m.gossiper)
	c.ReadLatest = func(ctx context.Context) (Body, error) {
		return c.Fetch(ctx, f.members[0].messenger.Address(), 0)
	}
	m.fetcher = New(c)
	require.NoError(b, m.messenger.Register(ServiceName, m.fetcher.Service()))
	m.messenger.HandleDatagrams(m.gossiper.Receive)
	require.NoError(b, m.messenger.Start())
	m.gossiper.Start(m.messenger.Address())
	return m
}

func (f *deployment) stop() {
	close(f.done)
	f.group.Wait()
	for _, m := range f.members {
		m.fetcher.Stop()
		m.gossiper.Stop()
		_ = m.messenger.Stop(context.Background())
	}
}

func (f *deployment) isComplete() bool {
	for _, m := range f.members {
		live := 0
		for _, other := range m.gossiper.Members() {
			if other.State() == gossiper.Alive {
				live++
			}
		}
		if live != len(f.members) {
			return false
		}
	}
	return true
}

// publishLoop publishes a load digest at each node every second.
func (f *deployment) publishLoop() {
	defer f.group.Done()
	body := make([]byte, digestSize)
	for version := uint64(1); clock.Sleep(clock.System{}, time.Second, f.done); version++ {
		for _, m := range f.members {
			_ = m.gossiper.Publish(1, version, body)
		}
	}
}

func (f *deployment) recordReached(update string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reached[update] = append(f.reached[update], time.Now())
	if len(f.reached[update]) == len(f.members) {
		f.changed.Broadcast()
	}
}

// await returns the time from start until the updates reached all nodes.
func (f *deployment) await(start time.Time, updates ...string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	var latest time.Duration
	for _, update := range updates {
		for len(f.reached[update]) < len(f.members) {
			f.changed.Wait()
		}
		latest = max(latest, slices.MaxFunc(f.reached[update], time.Time.Compare).Sub(start))
	}
	return latest
}

func cpuTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// traffic returns the bytes that all nodes sent and received, including headers.
func (f *deployment) traffic(b *testing.B) (sent, received float64) {
	for _, m := range f.members {
		families, err := m.registry.Gather()
		require.NoError(b, err)
		for _, family := range families {
			for _, metric := range family.GetMetric() {
				value := metric.GetCounter().GetValue()
				switch {
				case strings.HasSuffix(family.GetName(), "sent_bytes_total"):
					sent += value
				case strings.HasSuffix(family.GetName(), "received_bytes_total"):
					received += value
				case !strings.HasSuffix(family.GetName(), "messages_total"):
				case metric.GetLabel()[0].GetValue() == "sent":
					sent += value * udpHeaders
				default:
					received += value * udpHeaders
				}
			}
		}
	}
	return sent, received
}

// reportCost measures an idle deployment that publishes digests.
func (f *deployment) reportCost(b *testing.B, duration time.Duration) {
	time.Sleep(10 * time.Second) // lets the gossip about joining end
	sent, received := f.traffic(b)
	cpu, start := cpuTime(), time.Now()
	time.Sleep(duration)
	wall := time.Since(start).Seconds()
	coreFraction := (cpuTime() - cpu).Seconds() / wall / float64(len(f.members))
	sentNow, receivedNow := f.traffic(b)
	nodeSeconds := wall * float64(len(f.members))
	b.ReportMetric(100*coreFraction, "%core/node")
	b.ReportMetric((sentNow-sent)/nodeSeconds, "sentB/s/node")
	b.ReportMetric((receivedNow-received)/nodeSeconds, "receivedB/s/node")
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	b.ReportMetric(float64(memory.HeapInuse+memory.StackInuse)/float64(len(f.members))/1024, "KiB/node")
}

// reportPropagation measures how long updates take to reach all nodes.
func (f *deployment) reportPropagation(b *testing.B) {
	var delays []time.Duration
	for i := range 20 {
		name := fmt.Sprint("engine-", i)
		from := f.members[rand.IntN(len(f.members))]
		start := time.Now()
		from.gossiper.MarkLeaving(name, 1)
		delays = append(delays, f.await(start, name))
	}
	slices.Sort(delays)
	b.ReportMetric(delays[len(delays)/2].Seconds(), "s/mark-p50")
	b.ReportMetric(delays[len(delays)-1].Seconds(), "s/mark-max")

	time.Sleep(90 * time.Second) // lets the budgets refill
	var marks []string
	start := time.Now()
	for i := range 200 {
		marks = append(marks, fmt.Sprintf("pumice-engine-%04d", i))
		f.members[0].gossiper.MarkLeaving(marks[i], 1)
	}
	b.ReportMetric(f.await(start, marks...).Seconds(), "s/200-marks")
	var reachDelays []time.Duration
	for _, mark := range marks {
		for _, at := range f.reached[mark] {
			reachDelays = append(reachDelays, at.Sub(start))
		}
	}
	slices.Sort(reachDelays)
	b.ReportMetric(reachDelays[len(reachDelays)*99/100].Seconds(), "s/200-marks-p99")
	time.Sleep(20 * time.Second)

	f.reportConfigChanges(b)
}

func revisionName(number uint64) string { return fmt.Sprint("revision ", number) }

// reportConfigChanges measures how long an accepted change of the configuration takes to be in force at all
// nodes.
func (f *deployment) reportConfigChanges(b *testing.B) {
	for _, m := range f.members {
		m.fetcher.Start()
	}
	var changes []time.Duration
	for range 10 {
		f.number++
		text := strings.Repeat(fmt.Sprint(f.number, " "), rulesSize/4)
		body := Body{Text: text, Revision: gossiper.Revision{Number: f.number, Term: 1, Hash: xxhash.Sum64String(text)}}
		start := time.Now()
		for _, m := range f.members[:min(keepers, len(f.members))] {
			require.NoError(b, m.fetcher.Offer(body))
		}
		changes = append(changes, f.await(start, revisionName(f.number)))
		waiting := f.members[0].fetcher.Waiting(context.Background(), f.number)
		require.Empty(b, waiting)
		time.Sleep(5 * time.Second)
	}
	slices.Sort(changes)
	b.ReportMetric(changes[len(changes)/2].Seconds(), "s/change-p50")
	b.ReportMetric(changes[len(changes)-1].Seconds(), "s/change-max")
}
