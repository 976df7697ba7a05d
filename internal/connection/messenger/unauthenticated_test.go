package messenger

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A crowd of connections that do not authenticate locked out peers until the crowd's handshakes timed out.
func TestPeersFindRoomAmongUnauthenticatedConnections(t *testing.T) {
	m, _ := startNode(t, "n1", func(c *Config) { c.MaxUnauthenticated = 4 })
	peer, _ := startNode(t, "n2")
	var crowd []net.Conn
	for range 4 {
		conn, err := net.Dial("tcp", m.Address().String())
		require.NoError(t, err)
		defer conn.Close()
		crowd = append(crowd, conn)
	}
	require.Eventually(t, func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		defer cancel()
		var reply Text
		return peer.Call(ctx, m.Address(), "Echo.Say", Text{"hello"}, &reply) == nil
	}, handshakeTimeout, 10*time.Millisecond)
	require.Len(t, crowd, 4)
}
