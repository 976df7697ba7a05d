package messenger

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"
	dto "github.com/prometheus/client_model/go"
	"github.com/stretchr/testify/require"

	"hyssoprudder/internal/process/clock"
)

var (
	testKey  = []byte("0123456789abcdef0123456789abcdef")
	otherKey = []byte("fedcba9876543210fedcba9876543210")
	loopback = netip.MustParseAddrPort("127.0.0.1:0")
)

// Echo is the service that the tests call.
type Echo struct {
	entered chan struct{}
	release chan struct{}
	once    sync.Once
	ran     atomic.Int64
}

// open makes all calls of Wait return.
func (e *Echo) open() { e.once.Do(func() { close(e.release) }) }

type Text struct {
	Body string
}

func (e *Echo) Say(args Text, reply *Text) error {
	e.ran.Add(1)
	reply.Body = args.Body
	return nil
}

func (e *Echo) Fail(args Text, _ *Text) error {
	return errors.New("refused: " + args.Body)
}

func (e *Echo) Wait(args Text, reply *Text) error {
	e.ran.Add(1)
	e.entered <- struct{}{}
	<-e.release
	reply.Body = args.Body
	return nil
}

type option func(*Config)

func startNode(t *testing.T, id string, options ...option) (*Messenger, *Echo) {
	t.Helper()
	c := Config{
		ID: id, Incarnation: 1, Listen: loopback, Key: testKey, Clock: clock.System{},
		Log: log.New(io.Discard), Workers: 4, Registerer: prometheus.NewRegistry(),
	}
	for _, o := range options {
		o(&c)
	}
	m, err := New(c)
	require.NoError(t, err)
	echo := &Echo{entered: make(chan struct{}, 100), release: make(chan struct{})}
	require.NoError(t, m.Register("Echo", echo))
	require.NoError(t, m.Start())
	t.Cleanup(func() {
		echo.open()
		require.NoError(t, m.Stop(context.Background()))
	})
	return m, echo
}

func withTimeout(t *testing.T, d time.Duration) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), d)
	t.Cleanup(cancel)
	return ctx
}

func requireDropped(t *testing.T, m *Messenger, reason dropError) {
	t.Helper()
	require.Eventually(t, func() bool {
		var metric dto.Metric
		require.NoError(t, m.meter.dropped.WithLabelValues(string(reason)).Write(&metric))
		return metric.GetCounter().GetValue() > 0
	}, 20*time.Second, time.Millisecond)
}

func TestCallReturnsAnswerOrRemoteError(t *testing.T) {
	a, _ := startNode(t, "a")
	b, _ := startNode(t, "b")
	ctx := withTimeout(t, 20*time.Second)

	var reply Text
	require.NoError(t, a.Call(ctx, b.Address(), "Echo.Say", Text{Body: "bags"}, &reply))
	require.Equal(t, "bags", reply.Body)

	var remote *RemoteError
	err := a.Call(ctx, b.Address(), "Echo.Fail", Text{Body: "why"}, &reply)
	require.ErrorAs(t, err, &remote)
	require.Equal(t, "refused: why", remote.Error())
	require.ErrorAs(t, a.Call(ctx, b.Address(), "Nobody.Say", Text{}, &reply), &remote)

	large := Text{Body: string(bytes.Repeat([]byte("x"), 3<<20))}
	require.NoError(t, a.Call(ctx, b.Address(), "Echo.Say", large, &reply))
	require.Equal(t, large, reply)
	large.Body += large.Body
	err = a.Call(ctx, b.Address(), "Echo.Say", large, &reply)
	require.ErrorIs(t, err, ErrUnsent)
	require.ErrorIs(t, err, ErrTooLarge)
}

func TestCallErrorReportsDelivery(t *testing.T) {
	a, _ := startNode(t, "a")
	b, echo := startNode(t, "b")
	var reply Text

	nobody := netip.MustParseAddrPort("127.0.0.1:1")
	require.ErrorIs(t, a.Call(withTimeout(t, time.Second), nobody, "Echo.Say", Text{}, &reply), ErrUnsent)

	ctx, cancel := context.WithCancel(withTimeout(t, 20*time.Second))
	answered := make(chan error, 1)
	call := &caller{m: a, to: b.Address(), method: "Echo.Wait", done: answered}
	go call.run(ctx)
	<-echo.entered
	cancel()
	require.ErrorIs(t, <-answered, ErrUnanswered)
	echo.open()
}

type caller struct {
	m      *Messenger
	to     netip.AddrPort
	method string
	done   chan error
}

func (c *caller) run(ctx context.Context) {
	var reply Text
	c.done <- c.m.Call(ctx, c.to, c.method, Text{}, &reply)
}

func TestFullWorkersRefuseWithoutRunning(t *testing.T) {
	a, _ := startNode(t, "a")
	b, echo := startNode(t, "b", func(c *Config) { c.Workers = 1 })
	total := 1 + callsQueuedPerWorker + 3
	call := &caller{m: a, to: b.Address(), method: "Echo.Wait", done: make(chan error, total)}
	for range total {
		go call.run(withTimeout(t, 20*time.Second))
	}
	for range 3 {
		require.ErrorIs(t, <-call.done, ErrBusy)
	}
	echo.open()
	for range total - 3 {
		require.NoError(t, <-call.done)
	}
	require.EqualValues(t, total-3, echo.ran.Load())
}

func TestCallsReachARestartedPeer(t *testing.T) {
	a, _ := startNode(t, "a")
	b, _ := startNode(t, "b")
	ctx := withTimeout(t, 20*time.Second)
	var reply Text
	require.NoError(t, a.Call(ctx, b.Address(), "Echo.Say", Text{}, &reply))
	require.NoError(t, b.Stop(ctx))

	again, _ := startNode(t, "b", func(c *Config) { c.Listen = b.Address(); c.Incarnation = 2 })
	require.Equal(t, b.Address(), again.Address())
	require.Eventually(t, func() bool {
		return a.Call(ctx, again.Address(), "Echo.Say", Text{}, &reply) == nil
	}, 20*time.Second, time.Millisecond)
}

func TestTwoNodesNeverShareAPort(t *testing.T) {
	a, _ := startNode(t, "a")
	m, err := New(Config{ID: "b", Listen: a.Address(), Key: testKey, Clock: clock.System{}, Log: log.New(io.Discard)})
	require.NoError(t, err)
	require.Error(t, m.Start())
}

func TestFilterDropsEachDirection(t *testing.T) {
	tests := map[string]struct {
		outbound bool
		ran      int64
	}{
		"outbound drops the call":  {outbound: true, ran: 1},
		"inbound drops the answer": {outbound: false, ran: 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			a, _ := startNode(t, "a")
			b, echo := startNode(t, "b")
			var reply Text
			require.NoError(t, a.Call(withTimeout(t, 20*time.Second), b.Address(), "Echo.Say", Text{}, &reply))
			a.SetFilter(func(_ netip.AddrPort, outbound bool) bool { return outbound == tt.outbound })
			err := a.Call(withTimeout(t, 300*time.Millisecond), b.Address(), "Echo.Say", Text{}, &reply)
			require.ErrorIs(t, err, ErrUnanswered)
			require.Equal(t, tt.ran, echo.ran.Load())
			err = a.Call(withTimeout(t, 100*time.Millisecond), b.Address(), "Echo.Say", Text{}, &reply)
			require.ErrorIs(t, err, ErrUnsent, "the unresponsive connection was retired, and no new one can be made")
			a.SetFilter(nil)
			require.NoError(t, a.Call(withTimeout(t, 20*time.Second), b.Address(), "Echo.Say", Text{}, &reply))
		})
	}
}

func TestKeys(t *testing.T) {
	tests := map[string]struct {
		change option
		accept bool
	}{
		"same key":                  {func(*Config) {}, true},
		"other key":                 {func(c *Config) { c.Key = otherKey }, false},
		"new key, old key accepted": {func(c *Config) { c.Key, c.AcceptedKeys = otherKey, [][]byte{testKey} }, false},
		"old key, new key accepted": {func(c *Config) { c.AcceptedKeys = [][]byte{otherKey} }, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			a, _ := startNode(t, "a", tt.change)
			b, echo := startNode(t, "b")
			var reply Text
			err := a.Call(withTimeout(t, 20*time.Second), b.Address(), "Echo.Say", Text{}, &reply)
			require.NoError(t, a.Send(b.Address(), []byte("x")))
			if tt.accept {
				require.NoError(t, err)
				return
			}
			require.ErrorIs(t, err, ErrUnsent)
			requireDropped(t, b, dropUnauthenticated)
			require.Zero(t, echo.ran.Load())
		})
	}
}

func TestDatagramsArriveWithTheirSender(t *testing.T) {
	a, _ := startNode(t, "a")
	m, err := New(Config{ID: "b", Listen: loopback, Key: testKey, Clock: clock.System{}, Log: log.New(io.Discard)})
	require.NoError(t, err)
	senders, bodies := make(chan Sender, 10), make(chan string, 10)
	m.HandleDatagrams(func(from Sender, body []byte) { senders <- from; bodies <- string(body) })
	require.NoError(t, m.Start())
	t.Cleanup(func() { require.NoError(t, m.Stop(context.Background())) })

	require.NoError(t, a.Send(m.Address(), []byte("hello")))
	require.Equal(t, a.Self(), <-senders)
	require.Equal(t, "hello", <-bodies)
	require.ErrorIs(t, a.Send(m.Address(), make([]byte, maxDatagramSize)), ErrTooLarge)

	copied, err := a.sealer.seal(m.Address(), []byte("twice"), a.clock.Now())
	require.NoError(t, err)
	conn, err := net.Dial("udp", m.Address().String())
	require.NoError(t, err)
	defer conn.Close()
	for range 2 {
		_, err = conn.Write(copied)
		require.NoError(t, err)
	}
	require.Equal(t, "twice", <-bodies)
	requireDropped(t, m, dropReplayed)
	require.Empty(t, bodies)
}

func TestGarbageOnTheStreamIsDropped(t *testing.T) {
	tests := map[string]struct {
		input  []byte
		reason dropError
	}{
		"too long before the handshake": {[]byte{0, 1, 0, 0, recordHello}, dropOversized},
		"empty record":                  {[]byte{0, 0, 0, 0}, dropMalformed},
		"frame before the handshake":    {record(recordFrame, make([]byte, 40)), dropUnexpected},
		"unsigned hello":                {record(recordHello, make([]byte, 60)), dropUnauthenticated},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			a, _ := startNode(t, "a")
			conn, err := net.Dial("tcp", a.Address().String())
			require.NoError(t, err)
			defer conn.Close()
			_, err = conn.Write(tt.input)
			require.NoError(t, err)
			_, _ = io.Copy(io.Discard, conn) // until the node closes the connection
			requireDropped(t, a, tt.reason)
		})
	}
}

// BenchmarkCall measures calls between two nodes on the loopback interface,
// sequential and concurrent.
func BenchmarkCall(b *testing.B) {
	start := func(id string) *Messenger {
		m, err := New(Config{
			ID: id, Listen: loopback, Key: testKey, Clock: clock.System{}, Log: log.New(io.Discard), Workers: 64,
		})
		require.NoError(b, err)
		require.NoError(b, m.Register("Echo", new(Echo)))
		require.NoError(b, m.Start())
		b.Cleanup(func() { require.NoError(b, m.Stop(context.Background())) })
		return m
	}
	from, to := start("a"), start("b").Address()
	args := Text{Body: string(make([]byte, 200))}
	call := func() {
		var reply Text
		if err := from.Call(context.Background(), to, "Echo.Say", args, &reply); err != nil {
			b.Fatal(err)
		}
	}
	b.Run("one", func(b *testing.B) {
		for range b.N {
			call()
		}
	})
	b.Run("many", func(b *testing.B) {
		b.SetParallelism(32)
		b.RunParallel(func(pb *testing.PB) {
			for pb.Next() {
				call()
			}
		})
	})
}

// An answer that arrives after its call has timed out is counted with its size.
func TestUnusedAnswersAreCounted(t *testing.T) {
	a, _ := startNode(t, "a")
	b, echo := startNode(t, "b")
	ctx, cancel := context.WithCancel(withTimeout(t, 20*time.Second))
	call := &caller{m: a, to: b.Address(), method: "Echo.Wait", done: make(chan error, 1)}
	go call.run(ctx)
	<-echo.entered
	// The connection stays open after the timeout, since it carries other answers.
	require.NoError(t, a.Call(withTimeout(t, 20*time.Second), b.Address(), "Echo.Say", Text{}, new(Text)))
	cancel()
	require.ErrorIs(t, <-call.done, ErrUnanswered)
	echo.open()
	require.Eventually(t, func() bool { return counted(t, a.meter.unused) == 1 }, 20*time.Second, time.Millisecond)
	require.Positive(t, counted(t, a.meter.unusedBytes))
}

func counted(t *testing.T, c prometheus.Counter) float64 {
	t.Helper()
	var m dto.Metric
	require.NoError(t, c.Write(&m))
	return m.GetCounter().GetValue()
}
