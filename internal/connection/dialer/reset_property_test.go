package dialer_test

import (
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"hyssoprudder/internal/connection/dialer"
	"hyssoprudder/internal/standin/answerer"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}

// An answer without a length that begins before its upload is read is accepted whole if it ends in order, and rejected
// otherwise, whatever its size and status, and whenever it begins, breaks off and ends.
func TestEarlyAnswerIsAcceptedWholeOrNot(t *testing.T) {
	whole := map[string]func(c *net.TCPConn){"read": answerer.Linger, "not read": answerer.Stall}
	broken := map[string]func(c *net.TCPConn){
		"reset": answerer.Reset, "abandoned": answerer.Abandon, "ended and reset": answerer.EndAndReset, "vanished": answerer.Vanish,
	}
	var current atomic.Pointer[answerer.Handler]
	s, err := answerer.Listen(func(c *net.TCPConn, r *http.Request) bool { return (*current.Load())(c, r) })
	require.NoError(t, err)
	defer s.Close()
	rapid.Check(t, func(t *rapid.T) {
		moment := rapid.Custom(func(t *rapid.T) time.Duration {
			return time.Duration(rapid.IntRange(0, 60_000).Draw(t, "microseconds")) * time.Microsecond
		})
		delay, wait := moment.Draw(t, "delay"), moment.Draw(t, "wait")
		status := rapid.IntRange(200, 599).Filter(func(status int) bool { return status != 204 && status != 304 }).Draw(t, "status")
		size := rapid.OneOf(rapid.IntRange(0, 1000), rapid.IntRange(0, 400<<10)).Draw(t, "size")
		version := rapid.SampledFrom([]string{"1.0", "1.1"}).Draw(t, "version")
		name := rapid.SampledFrom([]string{"read", "not read", "reset", "abandoned", "ended and reset", "vanished"}).Draw(t, "end")
		text, end := fmt.Sprintf("HTTP/%s %d X\r\n\r\n%s", version, status, strings.Repeat("a", size)), whole[name]
		if end == nil {
			end, text = broken[name], text[:int(rapid.OneOf(rapid.Just(1.0), rapid.Float64Range(0, 1)).Draw(t, "part")*float64(len(text)))]
		}
		handle := answerer.Handler(func(c *net.TCPConn, r *http.Request) bool {
			time.Sleep(delay)
			return answerer.Early(func(*http.Request) string { return text }, wait, end)(c, r)
		})
		current.Store(&handle)
		d := dialer.New()
		defer d.Close()
		upload := make([]byte, rapid.IntRange(3<<20, 6<<20).Draw(t, "upload"))
		answer, err := d.Do(t.Context(), s.Address(), dialer.Request{ID: "c1", Method: http.MethodPost, Path: "/one", Body: upload})
		if whole[name] != nil {
			require.NoError(t, err)
			require.Equal(t, status, answer.Status)
			require.Len(t, answer.Body, size)
			return
		}
		require.Error(t, err, "%d with %d bytes", answer.Status, len(answer.Body))
		require.True(t, dialer.MayHaveRun(err))
	})
}
