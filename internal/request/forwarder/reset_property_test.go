package forwarder_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"hyssoprudder/internal/request/forwarder"
	"hyssoprudder/internal/standin/answerer"
)

// earlyAnswer is an answer without a length that begins while the upload is being written.
type earlyAnswer struct {
	delay  time.Duration // until the answer begins
	wait   time.Duration // until the connection ends
	status int
	path   string
	head   string
	size   int     // of the body, in bytes, at least
	part   float64 // fraction of the answer that is sent
	end    string
}

var earlyEnds = map[string]func(c *net.TCPConn){
	"reset": answerer.Reset, "abandoned": answerer.Abandon, "ended and reset": answerer.EndAndReset, "vanished": answerer.Vanish,
	"read": answerer.Linger, "not read": answerer.Stall,
}

// isWhole reports whether the answer is whole and ends in order.
func (a *earlyAnswer) isWhole() bool { return a.end == "read" || a.end == "not read" }

func (a *earlyAnswer) text(r *http.Request) string { return unframedText(a.head, a.path, a.size)(r) }

func (a *earlyAnswer) serve(c *net.TCPConn, r *http.Request) bool {
	time.Sleep(a.delay)
	text := a.text(r)
	if !a.isWhole() {
		text = text[:int(a.part*float64(len(text)))]
	}
	return answerer.Early(func(*http.Request) string { return text }, a.wait, earlyEnds[a.end])(c, r)
}

func drawEarlyAnswer(t *rapid.T) *earlyAnswer {
	a := &earlyAnswer{
		delay:  time.Duration(rapid.IntRange(0, 20_000).Draw(t, "delay")) * time.Microsecond,
		wait:   time.Duration(rapid.IntRange(0, 60_000).Draw(t, "wait")) * time.Microsecond,
		status: rapid.IntRange(200, 599).Filter(func(status int) bool { return status != 204 && status != 304 && status != 421 }).Draw(t, "status"),
		path:   rapid.SampledFrom(brokenPaths).Draw(t, "path"),
		size:   rapid.OneOf(rapid.IntRange(1, 1000), rapid.IntRange(1, 400<<10)).Draw(t, "size"),
		part:   rapid.OneOf(rapid.Just(1.0), rapid.Float64Range(0, 1)).Draw(t, "part"),
		end:    rapid.SampledFrom([]string{"reset", "abandoned", "ended and reset", "vanished", "read", "not read"}).Draw(t, "end"),
	}
	version := rapid.SampledFrom([]string{"1.0", "1.1"}).Draw(t, "version")
	closing := rapid.SampledFrom([]string{"", "Connection: close\r\n"}).Draw(t, "closing")
	a.head = fmt.Sprintf("HTTP/%s %d X\r\n", version, a.status) + "%s" + closing + "\r\n"
	return a
}

// An answer without a length that begins before its upload is read is delivered whole if it ends in order, and never
// looks complete otherwise, whatever its size, status and route, and whenever it begins, breaks off and ends.
func TestEarlyAnswerIsDeliveredWholeOrNot(t *testing.T) {
	var current atomic.Pointer[earlyAnswer]
	f := newFixture(t, newEarlyEndpoint(t, func(c *net.TCPConn, r *http.Request) bool { return current.Load().serve(c, r) }))
	f.maxWait = 10 * time.Second
	f.quotas.SetAllowances(2, map[string]float64{"masons": 1e9}, time.Now().Add(time.Hour))
	rapid.Check(t, func(r *rapid.T) {
		a := drawEarlyAnswer(r)
		current.Store(a)
		upload := rapid.IntRange(3<<20, 6<<20).Draw(r, "upload")
		got := f.call(t, a.path, "k1", strings.Repeat("u", upload))
		if a.isWhole() {
			require.NoError(r, got.err)
			require.Equal(r, a.status, got.status, "refusal %q", got.refusal)
			_, body, _ := strings.Cut(a.text(&http.Request{Header: http.Header{headerID: {"c1"}}}), "\r\n\r\n")
			require.Equal(r, len(body), len(got.body))
			return
		}
		if got.err == nil {
			require.Equal(r, string(forwarder.Unknown), got.refusal, "%d with %d bytes", got.status, len(got.body))
		}
	})
}
