package screener_test

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"hyssoprudder/internal/connection/screener"
	"hyssoprudder/internal/process/clock"
	"hyssoprudder/internal/process/reserver"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	goleak.VerifyTestMain(m)
}

// newServer returns a server whose connections s screens.
func newServer(s *screener.Screener, handler http.Handler) *http.Server {
	server := &http.Server{Handler: handler}
	s.Install(server)
	return server
}

// front is a server behind a screener that records which requests it served.
type front struct {
	t       *testing.T
	address string
	server  *http.Server
	done    chan struct{}
	listen  net.Listener
	budget  *reserver.Budget

	endsSending bool // callers close their sending side, so that a body that lacks its end is not waited for
	mu          sync.Mutex
	served      []string
}

func newFront(t *testing.T, limits screener.Limits) *front {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	f := &front{t: t, address: l.Addr().String(), done: make(chan struct{})}
	s := screener.New(func() screener.Limits { return limits }, time.Now)
	f.server = newServer(s, f)
	f.budget = reserver.NewBudget(1<<20, clock.System{})
	s.SetBounds(screener.Bounds{Budget: f.budget, Write: 10 * time.Second, Fields: 5500})
	f.listen = s.Wrap(l)
	go f.run()
	t.Cleanup(f.close)
	return f
}

func (f *front) run() {
	defer close(f.done)
	_ = f.server.Serve(f.listen)
}

func (f *front) close() {
	f.server.Close()
	<-f.done
	require.Eventually(f.t, func() bool { return f.budget.Used() == 0 }, 10*time.Second, time.Millisecond, "memory is charged for closed connections")
}

func (f *front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	f.mu.Lock()
	f.served = append(f.served, fmt.Sprintf("%s %s %q", r.Method, r.URL.Path, body))
	f.mu.Unlock()
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	fmt.Fprintf(w, "answer to %s", r.URL.Path)
}

// send writes raw bytes in pieces of the given size. It returns the statuses of the
// answers until the server closes the connection or has sent the expected number.
func (f *front) send(raw string, piece, answers int) []int {
	f.t.Helper()
	c, err := net.Dial("tcp", f.address)
	require.NoError(f.t, err)
	defer c.Close()
	for len(raw) > 0 {
		n := min(piece, len(raw))
		if _, err := io.WriteString(c, raw[:n]); err != nil {
			break // the server has closed the connection; its answers can still be read
		}
		raw = raw[n:]
	}
	if f.endsSending {
		_ = c.(*net.TCPConn).CloseWrite() // fails only if the server has closed the connection
	}
	r := bufio.NewReader(c)
	var statuses []int
	for len(statuses) < answers {
		response, err := http.ReadResponse(r, nil)
		if err != nil {
			break
		}
		_, _ = io.Copy(io.Discard, response.Body)
		response.Body.Close()
		statuses = append(statuses, response.StatusCode)
	}
	return statuses
}

func (f *front) paths() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.served
}

const (
	get    = "GET /one HTTP/1.1\r\nHost: a\r\n\r\n"
	hidden = "GET /hidden HTTP/1.1\r\nHost: a\r\n\r\n"
)

func TestFraming(t *testing.T) {
	cases := map[string]struct {
		raw      string
		answers  int
		statuses []int
		served   []string
	}{
		"two pipelined requests": {
			get + strings.Replace(get, "one", "two", 1), 2, []int{200, 200}, []string{`GET /one ""`, `GET /two ""`},
		},
		"a body of known length": {
			"POST /one HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhello" + get, 2, []int{200, 200}, []string{`POST /one "hello"`, `GET /one ""`},
		},
		"chunks and a hidden request": {
			"POST /one HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n" + hidden, 2, []int{200}, []string{`POST /one "hello"`},
		},
		"length and chunks and a hidden request": {
			"POST /one HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n" + hidden, 2, []int{400}, nil,
		},
		"length and chunks in other case and order": {
			"POST /one HTTP/1.1\r\nHost: a\r\ntransfer-encoding: chunked\r\ncontent-length: 4\r\n\r\n0\r\n\r\n" + hidden, 2, []int{400}, nil,
		},
		"length and chunks after a valid request": {
			get + "POST /two HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + hidden, 3, []int{200, 400}, []string{`GET /one ""`},
		},
		"two different lengths": {
			"POST /one HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello" + hidden, 2, []int{400}, nil,
		},
		"malformed request": {"nonsense\r\n\r\n" + hidden, 2, []int{400}, nil},
	}
	for name, tc := range cases {
		for _, piece := range []int{1 << 20, 7, 1} {
			t.Run(fmt.Sprintf("%s in pieces of %d", name, piece), func(t *testing.T) {
				f := newFront(t, screener.Limits{})
				require.Equal(t, tc.statuses, f.send(tc.raw, piece, tc.answers))
				require.Equal(t, tc.served, f.paths())
			})
		}
	}
}

func TestIdleConnectionIsClosed(t *testing.T) {
	f := newFront(t, screener.Limits{Idle: 50 * time.Millisecond})
	c, err := net.Dial("tcp", f.address)
	require.NoError(t, err)
	defer c.Close()
	_, err = io.WriteString(c, get)
	require.NoError(t, err)
	answer, err := io.ReadAll(c)
	require.NoError(t, err, "the server closes the connection")
	require.Contains(t, string(answer), "answer to /one")
}

func TestSlowHeadIsClosed(t *testing.T) {
	f := newFront(t, screener.Limits{Head: 50 * time.Millisecond})
	c, err := net.Dial("tcp", f.address)
	require.NoError(t, err)
	defer c.Close()
	_, err = io.WriteString(c, "GET /one HT")
	require.NoError(t, err)
	_, err = io.ReadAll(c)
	require.NoError(t, err, "the server closes the connection")
	require.Empty(t, f.paths())
}

// FuzzFraming sends arbitrary header fields and bodies: the server must not serve another
// request on a connection after a chunked one.
func FuzzFraming(f *testing.F) {
	f.Add("Content-Length: 3\r\n", "abc")
	f.Add("Transfer-Encoding: chunked\r\n", "3\r\nabc\r\n0\r\n\r\n")
	f.Add("Content-Length: 3\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n")
	f.Fuzz(func(t *testing.T, fields, body string) {
		front := newFront(t, screener.Limits{Head: time.Second, Idle: time.Second})
		front.endsSending = true
		front.send("POST /one HTTP/1.1\r\nHost: a\r\n"+fields+"\r\n"+body, 1<<20, 1)
		for _, served := range front.paths()[min(1, len(front.paths())):] {
			require.NotContains(t, strings.ToLower(fields), "chunked", "%s was served after a chunked request", served)
		}
	})
}
