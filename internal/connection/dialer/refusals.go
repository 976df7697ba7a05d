package dialer

import (
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// maxRefusals is how many refused calls of a connection are kept, the last ones.
const maxRefusals = 64

var (
	errOtherCall = errors.New("the answer has the ID of another call")
	errUnproven  = errors.New("the refusal may be that of an earlier call on the connection")
)

// trackedConn is a connection that knows the calls that were refused on it.
type trackedConn struct {
	*net.TCPConn

	mu      sync.Mutex
	refused []uint64 // hashes of their IDs, the last one last
}

// recordRefusal records the refusal of a call. It reports false if the call was refused on the
// connection before.
func (c *trackedConn) recordRefusal(id string) bool {
	hash := xxhash.Sum64String(id)
	c.mu.Lock()
	defer c.mu.Unlock()
	if slices.Contains(c.refused, hash) {
		return false
	}
	if len(c.refused) == maxRefusals {
		c.refused = slices.Delete(c.refused, 0, 1)
	}
	c.refused = append(c.refused, hash)
	return true
}

// dialTracked returns a dial function whose connections are trackedConns.
func dialTracked(d *net.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &trackedConn{TCPConn: conn.(*net.TCPConn)}, nil
	}
}

// usedConn is the connection on which a call was sent.
type usedConn struct {
	conn     *trackedConn
	isReused bool // it served another call before
}

// checkAnswer checks that an answer belongs to the call with the ID. It returns ErrNotRun if
// the endpoint refused the call. On a connection that served another call, an answer can be
// the copy of an earlier one; a refusal without an ID says nothing there. The connection of an
// answer that may belong to another call is closed, since later answers may be shifted too.
func (u usedConn) checkAnswer(resp *http.Response, id string, isRefusal bool) error {
	named := resp.Header.Values(headerRequest)
	var err error
	switch {
	case len(named) > 1 || len(named) == 1 && named[0] != id:
		err = &SendError{sent: true, err: errOtherCall}
	case !isRefusal:
		return nil
	case u.isReused && len(named) == 0 || !u.conn.recordRefusal(id):
		err = &SendError{sent: true, err: errUnproven}
	default:
		return ErrNotRun
	}
	// It is not used any more, so an error has no consequence.
	_ = u.conn.Close()
	return err
}
