package inspector_test

import (
	"bufio"
	"context"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"hyssoprudder/internal/connection/inspector"
	"hyssoprudder/internal/process/clock"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}

// scriptedConn answers the first request on it with given pieces, and ends.
type scriptedConn struct {
	net.Conn
	peer   net.Conn
	pieces []string
}

func newScriptedConn(pieces []string) *scriptedConn {
	conn, peer := net.Pipe()
	s := &scriptedConn{Conn: conn, peer: peer, pieces: pieces}
	go s.run()
	return s
}

func (s *scriptedConn) run() {
	defer s.peer.Close()
	if _, err := http.ReadRequest(bufio.NewReader(s.peer)); err != nil {
		return
	}
	for _, piece := range s.pieces {
		if _, err := io.WriteString(s.peer, piece); err != nil {
			return
		}
	}
}

const tokenBytes = "!#$%&'*+-.^_`|~09azAZ"

// drawnAnswer is an answer with at most one defect.
type drawnAnswer struct {
	text     strings.Builder
	body     string
	isBroken bool
}

func (a *drawnAnswer) line(t *rapid.T, text string) {
	a.text.WriteString(text + rapid.SampledFrom([]string{"\r\n", "\n"}).Draw(t, "line end"))
}

// fields adds fields that say nothing on framing.
func (a *drawnAnswer) fields(t *rapid.T) {
	for range rapid.IntRange(0, 4).Draw(t, "fields") {
		name := rapid.StringOfN(rapid.SampledFrom([]rune(tokenBytes)), 1, 12, -1).Draw(t, "name")
		value := rapid.SampledFrom([]string{"", "v", " v ", "\tcaf\xc3\xa9 \xff", "a\r\n b", "a: b", "\r\n\tTransfer-Encoding: chunked"}).Draw(t, "value")
		a.line(t, "X-"+name+":"+value)
	}
}

// fault returns a field with a byte in its name that no name can have.
func fault(t *rapid.T) string {
	name := rapid.SampledFrom([]string{"X-A", "Content-Length", "Transfer-Encoding", "Connection", "a"}).Draw(t, "faulty name")
	value := rapid.SampledFrom([]string{"1", "chunked", "close"}).Draw(t, "value")
	odd := rapid.SampledFrom([]string{" ", "  ", "\t", "\x00", "\x01", "\x1f", "\x7f", "\"", "(", "/", "@", "\x80"}).Draw(t, "byte")
	at := rapid.IntRange(1, len(name)).Draw(t, "at") // a line that begins with a blank continues the one before
	return name[:at] + odd + name[at:] + ": " + value
}

func drawAnswer(t *rapid.T) *drawnAnswer {
	a := &drawnAnswer{body: rapid.StringOfN(rapid.SampledFrom([]rune("ab\r\n0:1")), 0, 40, -1).Draw(t, "body")}
	for range rapid.IntRange(0, 2).Draw(t, "interim answers") {
		a.line(t, rapid.SampledFrom([]string{"HTTP/1.0", "HTTP/1.1"}).Draw(t, "version")+" 103 Hints")
		a.fields(t)
		a.line(t, "")
	}
	defect := rapid.SampledFrom([]string{"", "", "", "status", "version", "name", "encoding"}).Draw(t, "defect")
	a.isBroken = defect != ""
	version := rapid.SampledFrom([]string{"1.0", "1.1", "1.2"}).Draw(t, "version")
	status := rapid.SampledFrom([]int{200, 201, 299, 301, 404, 500, 599}).Draw(t, "status")
	switch defect {
	case "status":
		status = rapid.OneOf(rapid.IntRange(0, 99), rapid.IntRange(600, 999), rapid.Just(101)).Draw(t, "impossible status")
	case "version":
		version = rapid.SampledFrom([]string{"0.0", "0.9", "2.0", "3.1", "9.9"}).Draw(t, "unknown version")
	case "encoding":
		version = "1.0"
	}
	a.line(t, fmt.Sprintf("HTTP/%s %03d", version, status)+rapid.SampledFrom([]string{"", " ", " OK", " a b"}).Draw(t, "reason"))
	a.fields(t)
	if defect == "name" {
		a.line(t, fault(t))
		a.fields(t)
	}
	framing := rapid.SampledFrom([]string{"length", "chunks", "end"}).Draw(t, "framing")
	if version[0] == '1' && version != "1.0" || framing != "chunks" {
		a.frame(t, framing, defect == "encoding")
	} else {
		a.frame(t, "end", defect == "encoding")
	}
	return a
}

// frame ends the head and adds the body.
func (a *drawnAnswer) frame(t *rapid.T, framing string, hasEncoding bool) {
	if hasEncoding {
		a.line(t, rapid.SampledFrom([]string{"Transfer-Encoding: chunked", "transfer-encoding:gzip", "TRANSFER-ENCODING: identity", "Transfer-Encoding:"}).Draw(t, "encoding"))
	}
	text := a.body
	switch framing {
	case "length":
		a.line(t, fmt.Sprintf("Content-Length: %d", len(a.body)))
	case "chunks":
		a.line(t, "Transfer-Encoding: chunked")
		if text = "0\r\n\r\n"; a.body != "" {
			text = fmt.Sprintf("%x\r\n%s\r\n", len(a.body), a.body) + text
		}
	}
	a.fields(t)
	a.line(t, "")
	a.text.WriteString(text)
}

// cut returns the text in pieces.
func cut(t *rapid.T, text string) []string {
	var pieces []string
	for text != "" {
		n := rapid.IntRange(1, len(text)).Draw(t, "piece")
		pieces, text = append(pieces, text[:n]), text[n:]
	}
	return pieces
}

// Exactly the answers without a defect are accepted, with their bodies, whatever else is in their heads and however they
// arrive.
func TestExactlySoundAnswersAreAccepted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := drawAnswer(t)
		conn := newScriptedConn(cut(t, a.text.String()))
		client := &http.Client{
			Transport: inspector.NewTransport(&http.Transport{
				DialContext: func(context.Context, string, string) (net.Conn, error) { return conn, nil },
			}, clock.System{}),
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		}
		defer conn.Close()
		response, err := client.Get("http://a.example/")
		if a.isBroken {
			require.Error(t, err, "%q", a.text.String())
			return
		}
		require.NoError(t, err, "%q", a.text.String())
		defer response.Body.Close()
		body, err := io.ReadAll(response.Body)
		require.NoError(t, err, "%q", a.text.String())
		require.Equal(t, a.body, string(body), "%q", a.text.String())
	})
}
