package screener_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"hyssoprudder/internal/connection/screener"
)

// scriptedConn is a connection whose caller has sent its bytes in given pieces and nothing after them.
type scriptedConn struct {
	net.Conn // nil: only the methods below are used
	pieces   [][]byte

	mu      sync.Mutex
	answers bytes.Buffer
	isOver  bool
	closed  chan struct{}
}

func (c *scriptedConn) Read(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.pieces) > 0 && len(c.pieces[0]) == 0 {
		c.pieces = c.pieces[1:]
	}
	if len(c.pieces) == 0 {
		return 0, io.EOF
	}
	n := copy(p, c.pieces[0])
	c.pieces[0] = c.pieces[0][n:]
	return n, nil
}

func (c *scriptedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.answers.Write(p)
}

func (c *scriptedConn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isOver {
		c.isOver = true
		close(c.closed)
	}
	return nil
}

func (c *scriptedConn) LocalAddr() net.Addr              { return &net.TCPAddr{} }
func (c *scriptedConn) RemoteAddr() net.Addr             { return &net.TCPAddr{} }
func (c *scriptedConn) SetDeadline(time.Time) error      { return nil }
func (c *scriptedConn) SetReadDeadline(time.Time) error  { return nil }
func (c *scriptedConn) SetWriteDeadline(time.Time) error { return nil }

// scriptedListener accepts one connection.
type scriptedListener struct {
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

func (l *scriptedListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *scriptedListener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

func (l *scriptedListener) Addr() net.Addr { return &net.TCPAddr{} }

// serveScript serves one connection and returns the requests that reached the handler, and the bytes of the answers.
func serveScript(t require.TestingT, pieces ...string) (served []string, answers string) {
	l := &scriptedListener{conns: make(chan net.Conn, 1), done: make(chan struct{})}
	c := &scriptedConn{closed: make(chan struct{})}
	for _, p := range pieces {
		c.pieces = append(c.pieces, []byte(p))
	}
	l.conns <- c
	f := &front{done: make(chan struct{})}
	s := screener.New(func() screener.Limits { return screener.Limits{} }, time.Now)
	f.server = newServer(s, f)
	f.listen = s.Wrap(l)
	go f.run()
	select {
	case <-c.closed:
	case <-time.After(time.Minute):
		require.FailNow(t, "the connection stays open", "%q", pieces)
	}
	f.server.Close()
	<-f.done
	c.mu.Lock()
	defer c.mu.Unlock()
	return f.paths(), c.answers.String()
}

// maxEmptyLines is how many empty lines before a request are ignored.
const maxEmptyLines = 4

// withoutEmptyLines removes the empty lines before a request. It reports false if there are too many.
func withoutEmptyLines(raw string) (string, bool) {
	for range maxEmptyLines + 1 {
		after, ok := strings.CutPrefix(raw, "\n")
		if !ok {
			after, ok = strings.CutPrefix(raw, "\r\n")
		}
		if !ok {
			return raw, true
		}
		raw = after
	}
	return raw, false
}

// expected returns the requests that may be served of those that one connection receives, as the reader of the standard
// library delimits them: up to the first one that is malformed or whose length is ambiguous, and none after one in chunks.
func expected(raw string) []string {
	var out []string
	for {
		var ok bool
		if raw, ok = withoutEmptyLines(raw); !ok || strings.HasPrefix(raw, "\r") {
			return out
		}
		left := strings.NewReader(raw)
		r := bufio.NewReader(left)
		request, err := http.ReadRequest(r)
		if err != nil {
			return out
		}
		head := strings.ToLower(raw[:len(raw)-left.Len()-r.Buffered()])
		isChunked := strings.Contains(head, "\ntransfer-encoding:")
		if isChunked && (strings.Contains(head, "\ncontent-length:") || !request.ProtoAtLeast(1, 1)) {
			return out
		}
		body, err := io.ReadAll(request.Body)
		out = append(out, fmt.Sprintf("%s %s %q", request.Method, request.URL.Path, body))
		if err != nil || isChunked || request.Close {
			return out
		}
		raw = raw[len(raw)-left.Len()-r.Buffered():]
	}
}

// drawMessage draws a request with any line ends.
func drawMessage(t *rapid.T, number int) string {
	lineEnd := func() string { return rapid.SampledFrom([]string{"\r\n", "\n"}).Draw(t, "line end") }
	method := rapid.SampledFrom([]string{"GET", "POST", "OPTIONS"}).Draw(t, "method")
	target := fmt.Sprintf("/%d", number)
	if method == "OPTIONS" {
		target = "*"
	}
	version := rapid.SampledFrom([]string{"1.1", "1.1", "1.1", "1.0"}).Draw(t, "version")
	hidden := fmt.Sprintf("POST /hidden%d HTTP/1.1%sHost: a%sContent-Length: 0%s%s", number, lineEnd(), lineEnd(), lineEnd(), lineEnd())
	chunks := "0" + lineEnd() + lineEnd()
	name := func(s string) string { return rapid.SampledFrom([]string{s, strings.ToLower(s)}).Draw(t, "name") }
	fields, body := []string{name("Host") + ": a"}, ""
	addFields := func(names ...string) {
		at := rapid.IntRange(0, len(fields)).Draw(t, "position")
		fields = append(fields[:at:at], append(names, fields[at:]...)...)
	}
	switch rapid.SampledFrom([]string{"none", "length", "chunks", "both"}).Draw(t, "framing") {
	case "length":
		body = rapid.SampledFrom([]string{"", "hello", "\n\n", "\r\n\r\n", hidden}).Draw(t, "body")
		addFields(fmt.Sprintf("%s: %d", name("Content-Length"), len(body)))
	case "chunks":
		body = chunks + rapid.SampledFrom([]string{"", hidden}).Draw(t, "behind")
		addFields(name("Transfer-Encoding") + ": chunked")
	case "both":
		body = chunks + hidden
		addFields(fmt.Sprintf("%s: %d", name("Content-Length"), len(body)))
		addFields(name("Transfer-Encoding") + ": chunked")
	}
	if rapid.Bool().Draw(t, "folded") {
		addFields("X-Long: a" + lineEnd() + " " + rapid.SampledFrom([]string{"", "b"}).Draw(t, "continuation"))
	}
	if rapid.Bool().Draw(t, "long") {
		addFields("X-Longer: " + strings.Repeat("a", rapid.IntRange(0, 40<<10).Draw(t, "length of a field")))
	}
	if version == "1.0" {
		addFields("Connection: keep-alive")
	} else if body != "" && rapid.Bool().Draw(t, "expects") {
		addFields(name("Expect") + ": 100-continue")
	}
	var out strings.Builder
	if emptyLines := rapid.IntRange(0, 12).Draw(t, "empty lines"); emptyLines <= maxEmptyLines+1 {
		for range emptyLines {
			out.WriteString(lineEnd())
		}
	}
	if rapid.IntRange(0, 20).Draw(t, "lone return") == 20 {
		out.WriteString("\r")
	}
	out.WriteString(method + " " + target + " HTTP/" + version + lineEnd())
	for _, f := range fields {
		out.WriteString(f + lineEnd())
	}
	return out.String() + lineEnd() + body
}

// Guards against request smuggling: a head that ended with a bare newline was taken to reach to the end of the next one,
// which was then served unscreened. Any requests, in any pieces, are delimited as the standard library delimits them.
func TestHeadsEndWhereTheServerEndsThem(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		raw := ""
		for i := range rapid.IntRange(1, 4).Draw(t, "requests") {
			raw += drawMessage(t, i)
		}
		var pieces []string
		for rest := raw; rest != ""; {
			n := rapid.IntRange(1, len(rest)).Draw(t, "piece")
			pieces, rest = append(pieces, rest[:n]), rest[n:]
		}
		served, answers := serveScript(t, pieces...)
		require.Equal(t, expected(raw), served, "%q", pieces)
		requireAnswers(t, served, answers)
	})
}

// requireAnswers checks that each request that was served has its answer, in their order, and that at most a refusal follows.
func requireAnswers(t require.TestingT, served []string, answers string) {
	r := bufio.NewReader(strings.NewReader(answers))
	for {
		response, err := http.ReadResponse(r, nil)
		if err != nil {
			require.Empty(t, served, "%q", answers)
			return
		}
		body, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		response.Body.Close()
		switch {
		case response.StatusCode == http.StatusContinue:
		case len(served) > 0:
			path := strings.Fields(served[0])[1]
			// A body that breaks off is answered with 400 by the handler.
			if response.StatusCode != http.StatusBadRequest {
				require.Equal(t, "answer to "+path, string(body))
			}
			served = served[1:]
		default:
			require.Equal(t, http.StatusBadRequest, response.StatusCode)
		}
	}
}

// The forms of a request that hides another one in its body, behind each form of a request that was delimited otherwise.
func TestHiddenRequestIsNeverServed(t *testing.T) {
	inner := "POST /hidden HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n"
	fronts := map[string]string{
		"nothing":                 "",
		"bare newlines":           "GET /one HTTP/1.1\nHost: a\n\n",
		"bare newline in front":   "GET /one HTTP/1.1\r\nHost: a\n\r\n",
		"bare newline at the end": "GET /one HTTP/1.1\r\nHost: a\r\n\n",
		"two with bare newlines":  "GET /one HTTP/1.1\nHost: a\n\nGET /two HTTP/1.1\nHost: a\n\n",
		"a body":                  "POST /one HTTP/1.1\nHost: a\nContent-Length: 2\n\nhi",
		"a body and empty lines":  "POST /one HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nhi\r\n\r\n",
		"a body and a return":     "POST /one HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nhi\r",
		"all options":             "OPTIONS * HTTP/1.1\r\nHost: a\r\n\r\n",
		"all options with chunks": "OPTIONS * HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"options and chunks":      "OPTIONS * HTTP/1.1\r\nHost: a\r\n\r\nPOST /one HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	}
	framings := map[string]string{
		"length and chunks":           "HTTP/1.1\r\nHost: a\r\nContent-Length: 58\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"chunks and length, in lower": "HTTP/1.1\nhost: a\ntransfer-encoding: chunked\ncontent-length: 56\n\n0\n\n",
		"chunks":                      "HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"length and chunks in 1.0":    "HTTP/1.0\r\nConnection: keep-alive\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n35\r\n",
	}
	for before, front := range fronts {
		for framing, outer := range framings {
			t.Run(before+", "+framing, func(t *testing.T) {
				raw := front + "POST /outer " + outer + inner
				for cut := range len(raw) {
					served, answers := serveScript(t, raw[:cut], raw[cut:])
					for _, request := range served {
						require.NotContains(t, request, " /hidden ", "cut at %d", cut)
						require.False(t, framing != "chunks" && strings.Contains(request, " /outer "), "cut at %d", cut)
					}
					require.Contains(t, answers, "Connection: close", "cut at %d", cut)
				}
			})
		}
	}
}

// A head beyond the screener's bound, but within the server's, was served unscreened.
func TestLongHeadIsScreened(t *testing.T) {
	for name, bytes := range map[string]int{"within the bound": 200 << 10, "beyond the bound before": 300 << 10, "beyond the server's bound": 2 << 20} {
		t.Run(name, func(t *testing.T) {
			long := "X-Long: " + strings.Repeat("a", bytes) + "\r\n"
			served, answers := serveScript(t, "POST /outer HTTP/1.1\r\nHost: a\r\n"+long+"Content-Length: 57\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"+hidden)
			require.Empty(t, served)
			require.Regexp(t, "^HTTP/1.1 4(00|31) ", answers)
		})
	}
}

// A request that no screener has delimited is refused.
func TestUnscreenedRequestIsRefused(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	f := &front{t: t, address: l.Addr().String(), done: make(chan struct{}), listen: l}
	f.server = newServer(screener.New(func() screener.Limits { return screener.Limits{} }, time.Now), f)
	go f.run()
	defer func() { f.server.Close(); <-f.done }()
	require.Equal(t, []int{http.StatusBadRequest}, f.send(get+get, 1<<20, 2))
	require.Empty(t, f.paths())
}

// FuzzHeads sends any bytes in two pieces: no request is served that the standard library would not delimit the same way.
func FuzzHeads(f *testing.F) {
	f.Add([]byte("GET /one HTTP/1.1\nHost: a\n\nPOST /two HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"+hidden), 20)
	f.Add([]byte("POST /one HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n\r\n\r\nPOST /two HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"+hidden), 3)
	f.Add([]byte("OPTIONS * HTTP/1.1\r\nHost: a\r\n\r\nGET /one HTTP/1.0\r\nConnection: keep-alive\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0"+hidden), 0)
	f.Fuzz(func(t *testing.T, raw []byte, cut int) {
		cut = min(max(cut, 0), len(raw))
		served, _ := serveScript(t, string(raw[:cut]), string(raw[cut:]))
		allowed := expected(string(raw))
		require.LessOrEqual(t, len(served), len(allowed))
		for i, request := range served {
			require.Equal(t, allowed[i], request)
		}
	})
}
