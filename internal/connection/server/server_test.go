package server_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"hyssoprudder/internal/connection/server"
	"hyssoprudder/internal/process/clock"
	"hyssoprudder/internal/process/meter"
	"hyssoprudder/internal/process/parser"
	"hyssoprudder/internal/process/settings"
	"hyssoprudder/internal/request/handler"
)

// The token of the customer is "masons-demo".
const rulesText = `customer masons token=sha256:8a15530667b783481e8d427fa34725c075280389136623564e433a0fa5675559 # desk, Vrancea
service bookings kind=plain # desk, Vrancea
route orders path=/orders service=bookings once=true # desk, Vrancea
route answers path=/v1 service=bookings # desk, Vrancea
route inner path=/v1/inner service=bookings # desk, Vrancea
`

type serve func(ctx context.Context, w http.ResponseWriter, call *handler.Call) handler.Result

func start(t *testing.T, serve serve) (*server.Server, string) {
	t.Helper()
	return startLogging(t, serve, io.Discard)
}

func startLogging(t *testing.T, serve serve, out io.Writer) (*server.Server, string) {
	t.Helper()
	return startWith(t, serve, out, "200ms")
}

// startWith starts a server with a read timeout.
func startWith(t *testing.T, serve serve, out io.Writer, read string) (*server.Server, string) {
	t.Helper()
	rules, err := parser.Parse(rulesText)
	require.NoError(t, err)
	srv := server.New(server.Config{
		Listen: netip.MustParseAddrPort("127.0.0.1:0"), Limits: limits(t, read), Clock: clock.System{}, Log: log.NewWithOptions(out, log.Options{Level: log.DebugLevel, Formatter: log.LogfmtFormatter}),
		Meter: meter.NewCalls(prometheus.NewRegistry()),
		Rules: func() *parser.Rules { return rules },
		Ready: func() error { return nil },
		Serve: serve,
	})
	require.NoError(t, srv.Start())
	return srv, srv.Address().String()
}

// limits returns the default limits, except for a maximum body of 16 bytes and the read
// timeout.
func limits(t *testing.T, read string) settings.Limits {
	t.Helper()
	dir := t.TempDir()
	text := "id='n'\nfirm='vrancea'\ndomain='adjud'\nroles=['entry']\nkey='node.toml'\ntoken='node.toml'\n" +
		"[listen]\ncallers='127.0.0.1:0'\nnodes='127.0.0.1:0'\noperators='127.0.0.1:0'\n" +
		"[[keepers]]\nid='k'\naddress='127.0.0.1:1'\n[limits]\nbody=16\nread='" + read + "'\n"
	path := filepath.Join(dir, "node.toml")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	s, err := settings.Load(path)
	require.NoError(t, err)
	return s.Limits()
}

func answerRoute(_ context.Context, w http.ResponseWriter, call *handler.Call) handler.Result {
	w.Header().Set(handler.HeaderRequest, call.ID())
	w.Header().Set(handler.HeaderOutcome, string(handler.OutcomeDone))
	fmt.Fprint(w, call.Route().Name())
	return handler.Result{Outcome: handler.OutcomeDone, Status: http.StatusOK}
}

func TestEveryAnswerStatesRequestAndOutcome(t *testing.T) {
	srv, address := start(t, answerRoute)
	defer srv.Stop(context.Background())
	good := http.Header{"Authorization": {"Bearer masons-demo"}, "Idempotency-Key": {"k"}}
	cases := map[string]struct {
		path   string
		header http.Header
		body   string
		status int
		answer string
	}{
		"served":             {"/orders/7", good, "x", http.StatusOK, "orders"},
		"longest path wins":  {"/v1/inner/x", good, "", http.StatusOK, "inner"},
		"part of a segment":  {"/v1inner", good, "", http.StatusNotFound, "No route"},
		"no token":           {"/orders", nil, "", http.StatusUnauthorized, "Unknown caller"},
		"wrong token":        {"/orders", http.Header{"Authorization": {"Bearer x"}}, "", http.StatusUnauthorized, "Unknown caller"},
		"once without key":   {"/orders", http.Header{"Authorization": {"Bearer masons-demo"}}, "", http.StatusBadRequest, "Key needed"},
		"bad timeout":        {"/v1", http.Header{"Authorization": {"Bearer masons-demo"}, "Timeout": {"soon"}}, "", http.StatusBadRequest, "Bad timeout"},
		"body too large":     {"/orders", good, strings.Repeat("x", 17), http.StatusRequestEntityTooLarge, "16 bytes"},
		"key too long":       {"/orders", http.Header{"Authorization": {"Bearer masons-demo"}, "Idempotency-Key": {strings.Repeat("k", 256)}}, "", http.StatusBadRequest, "Bad key"},
		"bad event id":       {"/v1", http.Header{"Authorization": {"Bearer masons-demo"}, "Last-Event-Id": {"-1"}}, "", http.StatusBadRequest, "Bad event id"},
		"no route for token": {"/other", good, "", http.StatusNotFound, "No route"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			req, err := http.NewRequest(http.MethodPost, "http://"+address+tc.path, strings.NewReader(tc.body))
			require.NoError(t, err)
			req.Header = tc.header.Clone()
			resp, err := http.DefaultClient.Do(req)
			require.NoError(t, err)
			defer resp.Body.Close()
			content, err := io.ReadAll(resp.Body)
			require.NoError(t, err)
			require.Equal(t, tc.status, resp.StatusCode)
			require.Contains(t, string(content), tc.answer)
			require.NotEmpty(t, resp.Header.Get("Request"))
			want := "notrun"
			if tc.status == http.StatusOK {
				want = "done"
			}
			require.Equal(t, want, resp.Header.Get("Outcome"))
		})
	}
}

func TestSlowBodyIsRefusedAndNotServed(t *testing.T) {
	srv, address := start(t, func(context.Context, http.ResponseWriter, *handler.Call) handler.Result {
		panic("a call with an incomplete body was served")
	})
	defer srv.Stop(context.Background())
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer conn.Close()
	_, err = fmt.Fprint(conn, "POST /orders HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer masons-demo\r\nIdempotency-Key: k\r\nContent-Length: 9\r\n\r\nxx")
	require.NoError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	defer resp.Body.Close()
	require.Equal(t, http.StatusRequestTimeout, resp.StatusCode)
	require.Equal(t, "notrun", resp.Header.Get("Outcome"))
}

// While the server drains, it still serves calls and closes their connections, and Stop
// waits for them.
func TestDrainServesAndStopWaits(t *testing.T) {
	arrived, release := make(chan struct{}), make(chan struct{})
	srv, address := start(t, func(ctx context.Context, w http.ResponseWriter, call *handler.Call) handler.Result {
		close(arrived)
		<-release
		return answerRoute(ctx, w, call)
	})
	srv.Drain()
	resp, err := http.Get("http://" + address + "/readyz")
	require.NoError(t, err)
	resp.Body.Close()
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)

	caller := &slowCaller{address: address, answers: make(chan error, 1)}
	go caller.run()
	<-arrived
	stopper := &stopper{srv: srv, aborted: make(chan int64, 1)}
	go stopper.run()
	for {
		conn, err := net.DialTimeout("tcp", address, time.Second)
		if err != nil {
			break // Stop has closed the listener
		}
		conn.Close()
	}
	require.Empty(t, stopper.aborted, "Stop must wait for the call")
	close(release)
	require.NoError(t, <-caller.answers)
	require.Zero(t, <-stopper.aborted)
}

type slowCaller struct {
	address string
	answers chan error
}

func (c *slowCaller) run() {
	req, err := http.NewRequest(http.MethodPost, "http://"+c.address+"/v1", nil)
	if err != nil {
		c.answers <- err
		return
	}
	req.Header.Set("Authorization", "Bearer masons-demo")
	resp, err := http.DefaultClient.Do(req)
	if err == nil {
		resp.Body.Close()
		if !resp.Close || resp.StatusCode != http.StatusOK {
			err = errors.New("expected status 200 and a closed connection")
		}
	}
	c.answers <- err
}

type stopper struct {
	srv     *server.Server
	aborted chan int64
}

func (s *stopper) run() { s.aborted <- s.srv.Stop(context.Background()) }

// Log lines contain the request, customer, route and outcome, but never the token, the
// idempotency key or the body.
func TestLogHoldsNoSecret(t *testing.T) {
	var out bytes.Buffer
	srv, address := startLogging(t, answerRoute, &out)
	for _, body := range []string{"secret-body", strings.Repeat("secret-body", 9)} {
		req, err := http.NewRequest(http.MethodPost, "http://"+address+"/orders", strings.NewReader(body))
		require.NoError(t, err)
		req.Header.Set("Authorization", "Bearer masons-demo")
		req.Header.Set("Idempotency-Key", "secret-key")
		resp, err := http.DefaultClient.Do(req)
		require.NoError(t, err)
		resp.Body.Close()
	}
	srv.Stop(context.Background())
	require.Contains(t, out.String(), "customer=masons route=orders")
	require.Contains(t, out.String(), "outcome=notrun")
	for _, secret := range []string{"masons-demo", "secret-key", "secret-body"} {
		require.NotContains(t, out.String(), secret)
	}
}
