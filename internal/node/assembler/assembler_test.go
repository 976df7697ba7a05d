package assembler_test

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
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
	"hyssoprudder/internal/request/placer"
)

// waitTimeout bounds every wait for a condition. It is so long that only a fault
// exceeds it.
const waitTimeout = 60 * time.Second

// deployment is a deployment of nodes in this process, with fakes for callers, operators
// and the provider.
type deployment struct {
	t       *testing.T
	host    string
	folder  string
	keepers []*testNode
	entry   *testNode
	server  *httptest.Server

	mu            sync.Mutex
	usageByWindow map[int64]map[string]int
	fences        []uint64
	sizes         map[string]int
	listed        []coordinator.Endpoint // nil: only server
	relayed       int                    // number of entries that report to relays; 0 for none
	born          int64                  // when endpoints were started; 0 if they don't say
	isBornKnownBy int                    // the only node whose questions are answered; 0 for all
}

// testNode is a node with its log and the functions that it passed to its adapter.
type testNode struct {
	deployment *deployment
	number     int
	node       *assembler.Node
	operators  *assembler.Operators
	serve      assembler.Serve
	log        *bytes.Buffer
	mu         sync.Mutex
}

// Write appends to the log, which is printed when the test fails.
func (n *testNode) Write(b []byte) (int, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.log.Write(b)
}

// text returns the log.
func (n *testNode) text() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.log.String()
}

func newDeployment(t *testing.T) *deployment {
	t.Helper()
	return newDeploymentWith(t, 0)
}

// newDeploymentWith returns a deployment whose entries report to relays if there are at least
// that many of them.
func newDeploymentWith(t *testing.T, relayed int) *deployment {
	t.Helper()
	d := &deployment{t: t, relayed: relayed, folder: t.TempDir(), usageByWindow: make(map[int64]map[string]int), sizes: make(map[string]int)}
	d.host = fmt.Sprintf("127.%d.%d", 90+os.Getpid()>>8&0x1f, os.Getpid()&0xff)
	d.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Call", r.Header.Get("Call"))
		_, _ = io.WriteString(w, "answer for "+r.Header.Get("Owner"))
	}))
	t.Cleanup(d.server.Close)
	for i := range 3 {
		d.keepers = append(d.keepers, d.start(i+1, "keeper", true))
	}
	d.entry = d.start(9, "entry", false)
	t.Cleanup(d.stop)
	return d
}

func (d *deployment) stop() {
	ctx, cancel := context.WithCancel(context.Background())
	cancel() // no call has to complete
	for _, n := range append(d.keepers, d.entry) {
		if n.node != nil {
			_ = n.node.Stop(ctx)
		}
		if d.t.Failed() {
			d.t.Logf("node %d:\n%s", n.number, n.text())
		}
	}
}

// stopTwoKeepers stops two of the three keepers, so that none can lead.
func (d *deployment) stopTwoKeepers() {
	ctx, cancel := context.WithCancel(context.Background())
	cancel() // no call has to complete
	for _, n := range d.keepers[:2] {
		_ = n.node.Stop(ctx)
		n.node = nil
	}
}

// start starts a node. Each node has its own address; all use the same ports.
func (d *deployment) start(number int, role string, first bool) *testNode {
	d.t.Helper()
	n := &testNode{deployment: d, number: number, log: new(bytes.Buffer)}
	address := fmt.Sprintf("%s.%d", d.host, number)
	text := fmt.Sprintf(`
id = "n%[1]d"
domain = "one"
domains = ["one"]
seeds = ["%[2]s.1:9300", "%[2]s.2:9300", "%[2]s.3:9300"]
secret = "a secret of this test that is long enough to sign with"
roles = [%[3]q]
data = "data-%[1]d"
first = %[4]v
relayed = %[6]d
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
`, number, d.host, role, first, address, cmp.Or(d.relayed, 1000))
	path := filepath.Join(d.folder, fmt.Sprintf("n%d.toml", number))
	require.NoError(d.t, os.WriteFile(path, []byte(text), 0o600))
	loaded, err := settings.LoadManaged(path)
	require.NoError(d.t, err)
	n.node, err = assembler.New(loaded, n.adapter(), log.NewWithOptions(n, log.Options{Level: log.InfoLevel}))
	require.NoError(d.t, err)
	require.NoError(d.t, n.node.Start())
	return n
}

// adapter returns fakes of the handlers for callers and operators and of the provider.
func (n *testNode) adapter() assembler.Adapter {
	d := n.deployment
	return assembler.Adapter{
		CallerHandler: func(serve assembler.Serve, _ func() bool, _ func() time.Time) http.Handler {
			n.serve = serve
			return http.HandlerFunc(n.serveCaller)
		},
		ReadyHandler: func(isReady func() bool) http.Handler {
			return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if !isReady() {
					w.WriteHeader(http.StatusServiceUnavailable)
				}
			})
		},
		OperatorHandler: func(o *assembler.Operators) http.Handler {
			n.operators = o
			return http.NotFoundHandler()
		},
		Encode: func(c *forwarder.Call, o *forwarder.AttemptMetadata) http.Header {
			return http.Header{"Call": {c.ID}, "Owner": {o.Customer}, "Prompt": c.Header["Prompt"]}
		},
		Decode: func(r *http.Response) forwarder.Reply {
			pause, _ := time.ParseDuration(r.Header.Get("Pause")) // none if it is not stated
			return forwarder.Reply{
				ID: r.Header.Get("Call"), IsSealed: true, IsLeaving: r.Header.Get("Leaving") != "", Pause: pause, IsNotRun: pause > 0,
			}
		},
		Refuse: func(w http.ResponseWriter, _ *forwarder.Call, refusal forwarder.Refusal, _ time.Duration) {
			http.Error(w, string(refusal), http.StatusTeapot)
		},
		Born:      n.askBorn,
		List:      d.list,
		SendUsage: d.receiveUsage, HasUsage: true, HasSize: true,
		SendSize: func(_ context.Context, _ submitter.Holder, o submitter.SizeOrder) submitter.Outcome {
			d.mu.Lock()
			defer d.mu.Unlock()
			d.sizes[o.Domain] = o.Count
			return submitter.Outcome{}
		},
	}
}

var errNoBirth = errors.New("the endpoint does not say when it was started")

func (n *testNode) askBorn(context.Context, netip.AddrPort) (int64, error) {
	d := n.deployment
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.born == 0 || d.isBornKnownBy != 0 && d.isBornKnownBy != n.number {
		return 0, errNoBirth
	}
	return d.born, nil
}

func (d *deployment) setBorn(at time.Time, knownBy int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.born, d.isBornKnownBy = at.UnixMilli(), knownBy
}

func (n *testNode) serveCaller(w http.ResponseWriter, r *http.Request) {
	n.serve(r.Context(), w, &forwarder.Call{
		ID: "c1", Method: r.Method, Target: r.RequestURI, Host: "a.example", Path: r.URL.Path, Header: r.Header, Arrived: time.Now(),
		Key: r.Header.Get("Key"), IsKeyed: true, Blocks: blocksOf(r.Header.Get("Prompt")), Size: r.ContentLength, Body: bodyReader(r.Body),
	})
}

func bodyReader(body io.Reader) func(limit int64) ([]byte, forwarder.Refusal) {
	return func(limit int64) ([]byte, forwarder.Refusal) {
		read, err := io.ReadAll(io.LimitReader(body, limit))
		if err != nil {
			return nil, forwarder.Malformed
		}
		return read, forwarder.None
	}
}

func endpointOf(id, version string, server *httptest.Server) coordinator.Endpoint {
	return coordinator.Endpoint{
		ID: id, Service: "desk", Domain: "one", Version: version, Slots: 64, Address: server.Listener.Addr().(*net.TCPAddr).AddrPort(),
	}
}

func (d *deployment) list(context.Context) ([]coordinator.Endpoint, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.listed != nil {
		return d.listed, nil
	}
	return []coordinator.Endpoint{endpointOf("e1", "", d.server)}, nil
}

func (d *deployment) setListed(list ...coordinator.Endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.listed = list
}

// receiveUsage refuses lower fencing numbers, as the provider does, and fails the
// test when one window is reported with different counts.
func (d *deployment) receiveUsage(_ context.Context, h submitter.Holder, window int64, counts map[string]int) submitter.Outcome {
	d.mu.Lock()
	defer d.mu.Unlock()
	if n := len(d.fences); n > 0 && h.Fence < d.fences[n-1] {
		return submitter.Outcome{Kind: submitter.Conflict}
	}
	d.fences = append(d.fences, h.Fence)
	if before, ok := d.usageByWindow[window]; ok && !mapsEqual(before, counts) {
		d.t.Errorf("window %d was reported as %v and then as %v", window, before, counts)
	}
	d.usageByWindow[window] = counts
	return submitter.Outcome{}
}

func mapsEqual(a, b map[string]int) bool { return fmt.Sprint(a) == fmt.Sprint(b) }

func (d *deployment) usageSum() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	sum := 0
	for _, counts := range d.usageByWindow {
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

func openRuleset(number uint64) *registrar.Ruleset {
	r := ruleset(number, "k1")
	r.Routes[0].Open = true
	return r
}

// put sends a ruleset to a keeper until it is accepted.
func (d *deployment) put(n *testNode, r *registrar.Ruleset) {
	d.t.Helper()
	require.Eventually(d.t, func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		return n.operators.Put(ctx, r, []byte(fmt.Sprintf("document %d", r.Number))) == nil
	}, waitTimeout, 20*time.Millisecond)
}

// blocksOf returns the prompt blocks in a list of numbers.
func blocksOf(list string) []placer.PromptBlock {
	var out []placer.PromptBlock
	for text := range strings.SplitSeq(list, ",") {
		if id, err := strconv.ParseUint(text, 10, 64); err == nil {
			out = append(out, placer.PromptBlock{ID: id, Tokens: 10})
		}
	}
	return out
}

// call returns the answer, or the error, that a caller with a key gets.
func (d *deployment) call(key string) string { return d.callWithPrompt(key, "") }

func (d *deployment) callWithPrompt(key, prompt string) string {
	return d.send(&testCall{method: http.MethodGet, target: "/x", key: key, prompt: prompt})
}

// testCall is a request of a caller.
type testCall struct{ method, target, key, prompt, body string }

// send returns the answer, or the error, that the caller of a request gets.
func (d *deployment) send(c *testCall) string {
	address := netip.MustParseAddr(d.host + ".9")
	r, err := http.NewRequestWithContext(context.Background(), c.method, "http://"+netip.AddrPortFrom(address, 9100).String()+c.target, strings.NewReader(c.body))
	require.NoError(d.t, err)
	r.Header.Set("Key", c.key)
	r.Header.Set("Prompt", c.prompt)
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return err.Error()
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	require.NoError(d.t, err)
	return strings.TrimSpace(string(body))
}

func (d *deployment) requireEventually(key, want string) {
	d.t.Helper()
	require.Eventually(d.t, func() bool { return d.call(key) == want }, waitTimeout, 10*time.Millisecond, "%s for %s", want, key)
}

// A ruleset is accepted, put in force, replaced, read back as it was sent, and survives
// the loss of a keeper with its disk; usage is reported, and no window with two counts.
func TestRulesetFromOperatorToCallers(t *testing.T) {
	d := newDeployment(t)
	require.Equal(t, string(forwarder.Unready), d.call("k1"), "a node without rules serves nobody")
	d.put(d.keepers[0], ruleset(5, "k1"))
	d.requireEventually("k1", "answer for masons")
	require.Equal(t, string(forwarder.Unauthorized), d.call("k2"))

	d.put(d.keepers[1], ruleset(9, "k2"))
	d.requireEventually("k2", "answer for masons")
	require.Equal(t, string(forwarder.Unauthorized), d.call("k1"), "a revoked key")
	d.put(d.keepers[2], ruleset(7, "k1")) // older than the accepted one: acknowledged, but changes nothing
	for _, n := range d.keepers {
		document, err := n.operators.Document(context.Background())
		require.NoError(t, err)
		require.Equal(t, "document 9", string(document))
	}

	// A keeper loses its disk and rejoins with an empty one.
	require.NoError(t, d.keepers[0].node.Stop(context.Background()))
	require.NoError(t, os.RemoveAll(filepath.Join(d.folder, "data-1")))
	d.keepers[0] = d.start(1, "keeper", false)
	d.put(d.keepers[0], ruleset(12, "k3"))
	d.requireEventually("k3", "answer for masons")
	require.Eventually(t, func() bool { return d.usageSum() >= 1 }, waitTimeout, 20*time.Millisecond, "usage is reported")
}

// An entry without a leader has rules that it can't confirm, and stops serving calls
// with keys by them.
func TestEntryWithoutLeaderStopsServing(t *testing.T) {
	d := newDeployment(t)
	d.put(d.keepers[0], ruleset(5, "k1"))
	d.requireEventually("k1", "answer for masons")
	d.stopTwoKeepers()
	d.requireEventually("k1", string(forwarder.Unready))
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := d.keepers[2].operators.Document(ctx)
	require.Error(t, err, "one keeper of three can't know the newest document")
}

// An entry served routes that need no key by rules that had been replaced, for as long as it had no contact to
// the leader.
func TestOpenRouteIsNotServedByUnconfirmedRules(t *testing.T) {
	d := newDeployment(t)
	d.put(d.keepers[0], openRuleset(5))
	d.requireEventually("", "answer for")
	d.stopTwoKeepers()
	d.requireEventually("", string(forwarder.Unready))
}
