package hoster_test

import (
	"net"
	"net/http"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"

	"hyssoprudder/internal/standin/hoster"
)

// A host that was killed before its server had begun to serve accepted connections, and reset
// them later.
func TestKilledHostAcceptsNothing(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1)) // the server begins later
	for range 50 {
		h, err := hoster.Listen("127.0.0.1:0", http.NotFoundHandler())
		require.NoError(t, err)
		address := h.Address().String()
		h.Kill()
		again, err := net.Listen("tcp", address)
		require.NoError(t, err, "the port is still in use")
		again.Close()
	}
}
