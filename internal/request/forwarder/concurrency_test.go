package forwarder_test

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hyssoprudder/internal/request/forwarder"
)

// Guards against a small entry that takes more calls than its memory and descriptors allow, and
// against one that counts calls which have ended.
func TestEntryNearItsLimitRefusesEarly(t *testing.T) {
	arrived, release := make(chan struct{}, 8), make(chan struct{})
	e := newEndpoint(t, func(c net.Conn, r *http.Request, body string) bool {
		arrived <- struct{}{}
		<-release
		return answerWith(200, "ok")(c, r, body)
	})
	f := newFixture(t, e)
	f.forwarder.SetMaxCalls(1)
	first := make(chan reply, 1)
	go func() { first <- f.callAs(t, "c1", "/once/1", "k1", "") }()
	<-arrived
	got := f.callAs(t, "c2", "/once/2", "k1", "")
	require.NoError(t, got.err)
	require.Equal(t, string(forwarder.Busy), got.refusal)
	require.Positive(t, got.after)
	close(release)
	require.Equal(t, 200, (<-first).status)
	require.Empty(t, arrived, "a refused call reaches no endpoint")
	require.Eventually(t, func() bool { return f.forwarder.Calls() == 0 }, 10*time.Second, time.Millisecond)
	require.Equal(t, 200, f.callAs(t, "c3", "/once/3", "k1", "").status)
}
