package assembler_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"hyssoprudder/internal/node/assembler"
	"hyssoprudder/internal/process/coordinator"
	"hyssoprudder/internal/process/registrar"
	"hyssoprudder/internal/process/settings"
	"hyssoprudder/internal/process/submitter"
	"hyssoprudder/internal/request/forwarder"
)

// patience bounds every wait for a condition; only a fault can reach it.
const patience = 60 * time.Second

// site is a deployment of nodes in this process, with an outside of its own.
type site struct {
	t       *testing.T
	host    string
	folder  string
	keepers []*member
	entry   *member
	desk    *httptest.Server

	mu     sync.Mutex
	usage  map[int64]map[string]int
	fences []uint64
	sizes  map[string]int
	listed []coordinator.Endpoint // nil: the desk alone
}

// member is one node and its log.
type member struct {
	site      *site
	number    int
	node      *assembler.Node
	operators *assembler.Operators
	serve     assembler.Serve
	log       *bytes.Buffer
	mu        sync.Mutex
}

// Write keeps the log for when the test fails.
func (m *member) Write(b []byte) (int, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.log.Write(b)
}

func newSite(t *testing.T) *site {
	t.Helper()
	s := &site{t: t, folder: t.TempDir(), usage: make(map[int64]map[string]int), sizes: make(map[string]int)}
	s.host = fmt.Sprintf("127.%d.%d", 90+os.Getpid()>>8&0x1f, os.Getpid()&0xff)
	s.desk = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Call", r.Header.Get("Call"))
		_, _ = io.WriteString(w, "answer for "+r.Header.Get("Owner"))
	}))
	t.Cleanup(s.desk.Close)
	for i := range 3 {
		s.keepers = append(s.keepers, s.start(i+1, "keeper", true))
	}
	s.entry = s.start(9, "entry", false)
	t.Cleanup(s.stop)
	return s
}

func (s *site) stop() {
	ctx, cancel := context.WithCancel(context.Background())
	cancel() // nothing here is worth waiting for
	for _, m := range append(s.keepers, s.entry) {
		if m.node != nil {
			_ = m.node.Stop(ctx)
		}
		if s.t.Failed() {
			s.t.Logf("node %d:\n%s", m.number, m.log.String())
		}
	}
}

// start starts a node. Each has an address of its own and the same ports.
func (s *site) start(number int, role string, first bool) *member {
	s.t.Helper()
	m := &member{site: s, number: number, log: new(bytes.Buffer)}
	address := fmt.Sprintf("%s.%d", s.host, number)
	text := fmt.Sprintf(`
id = "n%[1]d"
domain = "one"
domains = ["one"]
seeds = ["%[2]s.1:9300", "%[2]s.2:9300", "%[2]s.3:9300"]
secret = "a secret of this test that is long enough to sign with"
roles = [%[3]q]
data = "data-%[1]d"
first = %[4]v
[listen]
callers = "%[5]s:9100"
ready = "%[5]s:9200"
control = "%[5]s:9300"
nodes = "%[5]s:9400"
[bounds]
lease = "300ms"
usagewindow = "1s"
exposure = 0.1
exposed = 50
`, number, s.host, role, first, address)
	path := filepath.Join(s.folder, fmt.Sprintf("n%d.toml", number))
	require.NoError(s.t, os.WriteFile(path, []byte(text), 0o600))
	loaded, err := settings.LoadManaged(path)
	require.NoError(s.t, err)
	m.node, err = assembler.New(loaded, m.outside(), log.NewWithOptions(m, log.Options{Level: log.InfoLevel}))
	require.NoError(s.t, err)
	require.NoError(s.t, m.node.Start())
	return m
}

// outside stands in for callers, operators and the provider.
func (m *member) outside() assembler.Outside {
	s := m.site
	return assembler.Outside{
		Front: func(serve assembler.Serve, _ func() bool, _ func() time.Time) http.Handler {
			m.serve = serve
			return http.HandlerFunc(m.front)
		},
		Ready: func(isReady func() bool) http.Handler {
			return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if !isReady() {
					w.WriteHeader(http.StatusServiceUnavailable)
				}
			})
		},
		Control: func(o *assembler.Operators) http.Handler {
			m.operators = o
			return http.NotFoundHandler()
		},
		Encode: func(c *forwarder.Call, o *forwarder.AttemptMetadata) http.Header {
			return http.Header{"Call": {c.ID}, "Owner": {o.Customer}}
		},
		Decode: func(r *http.Response) forwarder.Reply {
			return forwarder.Reply{ID: r.Header.Get("Call"), IsSealed: true}
		},
		Refuse: func(w http.ResponseWriter, _ *forwarder.Call, refusal forwarder.Refusal, _ time.Duration) {
			http.Error(w, string(refusal), http.StatusTeapot)
		},
		List:      s.list,
		SendUsage: s.takeUsage, HasUsage: true,
		SendSize: func(_ context.Context, _ submitter.Holder, o submitter.SizeOrder) submitter.Outcome {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.sizes[o.Domain] = o.Count
			return submitter.Outcome{}
		},
	}
}

func (m *member) front(w http.ResponseWriter, r *http.Request) {
	m.serve(r.Context(), w, &forwarder.Call{
		ID: "c1", Method: r.Method, Target: r.RequestURI, Host: "a.example", Path: r.URL.Path, Header: r.Header, Arrived: time.Now(),
		Key: r.Header.Get("Key"), IsKeyed: true, Body: func(int64) ([]byte, forwarder.Refusal) { return nil, forwarder.None },
	})
}

func endpointOf(id, version string, server *httptest.Server) coordinator.Endpoint {
	return coordinator.Endpoint{
		ID: id, Service: "desk", Domain: "one", Version: version, Slots: 64, Address: server.Listener.Addr().(*net.TCPAddr).AddrPort(),
	}
}

func (s *site) list(context.Context) ([]coordinator.Endpoint, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listed != nil {
		return s.listed, nil
	}
	return []coordinator.Endpoint{endpointOf("e1", "", s.desk)}, nil
}

func (s *site) setListed(list ...coordinator.Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listed = list
}

// takeUsage refuses lower fencing numbers, as the provider does, and fails the
// test when a window is reported with two different counts.
func (s *site) takeUsage(_ context.Context, h submitter.Holder, window int64, counts map[string]int) submitter.Outcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n := len(s.fences); n > 0 && h.Fence < s.fences[n-1] {
		return submitter.Outcome{Kind: submitter.Conflict}
	}
	s.fences = append(s.fences, h.Fence)
	if before, ok := s.usage[window]; ok && !mapsEqual(before, counts) {
		s.t.Errorf("window %d was reported as %v and then as %v", window, before, counts)
	}
	s.usage[window] = counts
	return submitter.Outcome{}
}

func mapsEqual(a, b map[string]int) bool { return fmt.Sprint(a) == fmt.Sprint(b) }

func (s *site) counted() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	sum := 0
	for _, counts := range s.usage {
		sum += counts["masons"]
	}
	return sum
}

func ruleset(number uint64, keys ...string) *registrar.Ruleset {
	return &registrar.Ruleset{
		Number: number, RequiresKeys: true, Services: []registrar.Service{{Name: "desk"}},
		Routes: []registrar.Route{{
			Name: "r", Host: "a.example", Prefix: "/", Kind: registrar.Repeatable, Timeout: 5 * time.Second, MaxAttempts: 1,
			Shares: []registrar.Share{{Service: "desk", Weight: 1}},
		}},
		Customers: []registrar.Customer{{Name: "masons", Keys: keys}},
	}
}

// put has a ruleset accepted by a keeper, as often as it takes.
func (s *site) put(m *member, r *registrar.Ruleset) {
	s.t.Helper()
	require.Eventually(s.t, func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		return m.operators.Put(ctx, r, []byte(fmt.Sprintf("document %d", r.Number))) == nil
	}, patience, 20*time.Millisecond)
}

// call returns what a caller with a key gets.
func (s *site) call(key string) string {
	address := netip.MustParseAddr(s.host + ".9")
	r, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+netip.AddrPortFrom(address, 9100).String()+"/x", nil)
	require.NoError(s.t, err)
	r.Header.Set("Key", key)
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return err.Error()
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	require.NoError(s.t, err)
	return strings.TrimSpace(string(body))
}

func (s *site) eventually(key, want string) {
	s.t.Helper()
	require.Eventually(s.t, func() bool { return s.call(key) == want }, patience, 10*time.Millisecond, "%s for %s", want, key)
}

// The whole path: a ruleset is accepted, served by, replaced, read back as it was
// sent, and kept over the loss of a keeper with its disk; usage is reported once.
func TestRulesetFromOperatorToCallers(t *testing.T) {
	s := newSite(t)
	require.Equal(t, string(forwarder.Unready), s.call("k1"), "a node without rules serves nobody")
	s.put(s.keepers[0], ruleset(5, "k1"))
	s.eventually("k1", "answer for masons")
	require.Equal(t, string(forwarder.Unauthorized), s.call("k2"))

	s.put(s.keepers[1], ruleset(9, "k2"))
	s.eventually("k2", "answer for masons")
	require.Equal(t, string(forwarder.Unauthorized), s.call("k1"), "a key that was taken away")
	s.put(s.keepers[2], ruleset(7, "k1")) // overtaken: acknowledged, and changes nothing
	for _, m := range s.keepers {
		document, err := m.operators.Document(context.Background())
		require.NoError(t, err)
		require.Equal(t, "document 9", string(document))
	}

	// A keeper loses its disk and comes back; then another one is gone for good.
	require.NoError(t, s.keepers[0].node.Stop(context.Background()))
	require.NoError(t, os.RemoveAll(filepath.Join(s.folder, "data-1")))
	s.keepers[0] = s.start(1, "keeper", false)
	s.put(s.keepers[0], ruleset(12, "k3"))
	s.eventually("k3", "answer for masons")
	require.Eventually(t, func() bool { return s.counted() >= 1 }, patience, 20*time.Millisecond, "usage is reported")
}

// An entry that hears nothing of the leader serves no keyed calls on old rules.
func TestEntryWithoutLeaderStopsServing(t *testing.T) {
	s := newSite(t)
	s.put(s.keepers[0], ruleset(5, "k1"))
	s.eventually("k1", "answer for masons")
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for _, m := range s.keepers[:2] {
		_ = m.node.Stop(ctx)
		m.node = nil
	}
	s.eventually("k1", string(forwarder.Unready))
	_, err := s.keepers[2].operators.Document(ctx)
	require.Error(t, err, "one of three can't know what is newest")
}
