package dialer_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hyssoprudder/internal/connection/dialer"
)

// endlessEndpoint answers with a large body that does not end before the endpoint is released, but for one short path.
type endlessEndpoint struct {
	body     string
	released chan struct{}
}

func (e *endlessEndpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Request", r.Header.Get("Request"))
	if r.URL.Path == "/sound" {
		_, _ = io.WriteString(w, "sound")
		return
	}
	_, _ = io.WriteString(w, e.body)
	<-e.released
}

// endlessCall is a call that an endpoint answers without end.
type endlessCall struct {
	ctx     context.Context //nolint:containedctx // of the test
	dialer  *dialer.Dialer
	to      netip.AddrPort
	group   *sync.WaitGroup
	refused *atomic.Int64
}

func (c *endlessCall) run() {
	defer c.group.Done()
	_, err := c.dialer.Do(c.ctx, c.to, dialer.Request{ID: "1", Method: http.MethodGet, Path: "/endless"})
	if errors.Is(err, dialer.ErrTooLarge) {
		c.refused.Add(1)
	}
}

// A faulty endpoint sent bytes without end to many callers at once. The node kept up to 8 MB of each.
func TestAnswersTogetherTakeBoundedMemory(t *testing.T) {
	const calls, size, memory = 60, 4 << 20, 28 << 20
	e := &endlessEndpoint{body: strings.Repeat("a", size), released: make(chan struct{})}
	server := httptest.NewServer(e)
	defer server.Close()
	to := netip.MustParseAddrPort(server.Listener.Addr().String())
	d := dialer.New()
	defer d.Close()
	var group sync.WaitGroup
	var refused atomic.Int64
	for range calls {
		group.Add(1)
		go (&endlessCall{ctx: t.Context(), dialer: d, to: to, group: &group, refused: &refused}).run()
	}
	require.Eventually(t, func() bool { return refused.Load() >= calls-memory/size }, time.Minute, 5*time.Millisecond)
	answer, err := d.Do(t.Context(), to, dialer.Request{ID: "2", Method: http.MethodGet, Path: "/sound"})
	require.NoError(t, err, "small answers are read meanwhile")
	require.Equal(t, "sound", string(answer.Body))
	close(e.released)
	group.Wait()
}
