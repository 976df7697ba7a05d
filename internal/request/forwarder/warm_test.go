package forwarder_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hyssoprudder/internal/request/forwarder"
	"hyssoprudder/internal/request/placer"
)

const listLag = 800 * time.Millisecond

// Guards against calls to an endpoint that has said that it is cold, or that may have been started again since
// contact with it was lost, before a later list says that it is warm.
func TestColdEndpointGetsNoCallsWithoutALease(t *testing.T) {
	const cold = headerCold + ": 5s\n"
	cases := map[string]struct {
		path   string
		answer answerFunc
		isSaid bool // the endpoint itself says that it is cold
	}{
		"success":                   {"/safe/1", answerHead(200, cold), true},
		"rejection":                 {"/once/1", answerHead(503, cold+headerNotRun+": 1\n"), true},
		"failure":                   {"/once/1", answerHead(500, cold), true},
		"no answer":                 {"/once/1", closeUnanswered, false},
		"no answer, repeatable":     {"/safe/1", closeUnanswered, false},
		"answer that breaks off":    {"/once/1", answerRaw("HTTP/1.1 200 X\n{id}Content-Length: 9\n\nhalf"), false},
		"stream that breaks off":    {"/stream/1", answerRaw("HTTP/1.1 200 X\n{id}Content-Length: 90\n\nid: 1\ndata: 1\n\n"), false},
		"long answer breaking off":  {"/once/1", answerRaw("HTTP/1.1 200 X\n{id}Content-Length: 900000\n\n" + strings.Repeat("x", 600000)), false},
		"connection that is closed": {"/once/1", func(c net.Conn, _ *http.Request, _ string) bool { c.Close(); return false }, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			a := newEndpoint(t, tc.answer, answerWith(200, "a"))
			f := newFixture(t, a)
			f.placer.SetWarming(map[string]bool{"desk": true}, listLag)
			f.tryCall(t, tc.path)
			for range 20 { // for longer than an endpoint that failed is ejected
				require.Equal(t, string(forwarder.Busy), f.call(t, "/open/1", "", "").refusal)
				time.Sleep(20 * time.Millisecond)
			}
			require.Len(t, a.requests(), 1)
			if tc.isSaid {
				f.boot.Advance(5 * time.Second)
			} else {
				f.placer.SetWarmups(&placer.Warmups{ListRead: f.boot.Now().Add(listLag + 1)}, f.boot.Now())
			}
			require.Equal(t, "a", f.call(t, "/open/1", "", "").body)
		})
	}
}

// Guards against a call that is sent to a cold endpoint again after the lease's call of that second, and against
// refusing the lease's call.
func TestLeaseGivesOneCallASecond(t *testing.T) {
	a := newEndpoint(t, answerHead(200, headerCold+": 5s\n"))
	f := newFixture(t, a)
	f.placer.SetWarming(map[string]bool{"desk": true}, listLag)
	for i := range 4 {
		f.placer.SetWarmups(&placer.Warmups{Positions: []uint16{0}, Until: f.boot.Now().Add(1500 * time.Millisecond)}, f.boot.Now())
		require.Equal(t, 200, f.call(t, "/open/1", "", "").status)
		require.Equal(t, string(forwarder.Busy), f.call(t, "/open/1", "", "").refusal)
		require.Len(t, a.requests(), i+1)
		f.boot.Advance(time.Second)
	}
}

// Guards against a changed handling of lost connections where no service warms up.
func TestLostContactWithoutWarmUp(t *testing.T) {
	a := newEndpoint(t, closeUnanswered, answerHead(200, headerCold+": 5s\n"))
	f := newFixture(t, a)
	f.tryCall(t, "/once/1")
	for range 3 {
		require.Equal(t, 200, f.call(t, "/open/1", "", "").status)
	}
}

// tryCall makes a call whose answer may break off.
func (f *fixture) tryCall(t *testing.T, path string) {
	r, err := http.NewRequest(http.MethodPost, f.server.URL+path, nil)
	require.NoError(t, err)
	r.Header.Set(headerID, "c1")
	r.Header.Set("Key", "k1")
	if response, err := http.DefaultClient.Do(r); err == nil {
		_, _ = io.Copy(io.Discard, response.Body) // it breaks off
		response.Body.Close()
	}
}
