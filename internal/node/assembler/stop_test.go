package assembler_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hyssoprudder/internal/request/forwarder"
)

// callerConn is a caller's connection to the entry that sends raw bytes.
type callerConn struct {
	t *testing.T
	net.Conn
	reader *bufio.Reader
	peeked <-chan error // receives the result of a read in the background, if there is one
}

func (d *deployment) dialTo(address string) (*callerConn, error) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	d.t.Cleanup(func() { c.Close() })
	return &callerConn{t: d.t, Conn: c, reader: bufio.NewReader(c)}, nil
}

func (d *deployment) mustDial() *callerConn { return d.mustDialTo(d.host + ".9:9100") }

func (d *deployment) mustDialTo(address string) *callerConn {
	d.t.Helper()
	c, err := d.dialTo(address)
	require.NoError(d.t, err)
	return c
}

func (c *callerConn) send(text string) {
	c.t.Helper()
	_, err := io.WriteString(c, text)
	require.NoError(c.t, err)
}

// requireAnswer reads a complete answer and returns whether it announces that the connection
// is closed.
func (c *callerConn) requireAnswer(want string) bool {
	c.t.Helper()
	if c.peeked != nil {
		require.NoError(c.t, <-c.peeked, "the connection was closed without an answer")
	}
	response, err := http.ReadResponse(c.reader, nil)
	require.NoError(c.t, err, "the connection was closed without an answer")
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	require.NoError(c.t, err)
	require.Equal(c.t, want, string(body))
	return response.Close
}

// isRefused sends a request and reports whether it is answered before it is received by an
// endpoint.
func (c *callerConn) isRefused(request string, received <-chan struct{}) bool {
	c.t.Helper()
	c.send(request)
	first := make(chan error, 1)
	go func() {
		_, err := c.reader.Peek(1)
		first <- err
	}()
	select {
	case <-received:
		c.peeked = first
		return false
	case err := <-first:
		require.NoError(c.t, err)
	}
	response, err := http.ReadResponse(c.reader, nil)
	require.NoError(c.t, err)
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	require.NoError(c.t, err)
	return true
}

// awaitDrain waits until the entry accepts no more connections.
func (d *deployment) awaitDrain() { d.awaitDrainOf(d.host + ".9:9100") }

func (d *deployment) awaitDrainOf(address string) {
	d.t.Helper()
	require.Eventually(d.t, func() bool {
		c, err := d.dialTo(address)
		if err == nil {
			c.Close()
		}
		return err != nil
	}, waitTimeout, time.Millisecond)
}

// stopEntry stops the entry in the background and returns a channel that is closed afterwards.
func (d *deployment) stopEntry(ctx context.Context) <-chan struct{} { return d.stopNode(ctx, d.entry) }

func (d *deployment) stopNode(ctx context.Context, n *testNode) <-chan struct{} {
	done := make(chan struct{})
	node := n.node
	n.node = nil
	go func() {
		defer close(done)
		_ = node.Stop(ctx)
	}()
	d.t.Cleanup(func() { <-done })
	return done
}

const callerRequest = "GET /x HTTP/1.1\r\nHost: a.example\r\nKey: k1\r\n\r\n"

// An entry that stopped closed connections without an answer on which it had read a request or a part of one: on a rolling
// restart, callers lost each request that arrived when the time for the load balancer was over.
func TestStoppingEntryAnswersWhatItHasRead(t *testing.T) {
	d := newDeployment(t)
	d.put(d.keepers[0], ruleset(5, "k1"))
	d.requireEventually("k1", "answer for masons")

	kept, idle, fresh := d.mustDial(), d.mustDial(), d.mustDial()
	for _, c := range []*callerConn{kept, idle} {
		c.send(callerRequest)
		c.requireAnswer("answer for masons")
	}
	half := len(callerRequest) / 2
	kept.send(callerRequest[:half])
	fresh.send(callerRequest[:half])
	stopped := d.stopEntry(context.Background())
	d.awaitDrain()
	_, err := idle.reader.ReadByte()
	require.ErrorIs(t, err, io.EOF, "an idle connection is closed")
	for _, c := range []*callerConn{kept, fresh} {
		c.send(callerRequest[half:])
		c.requireAnswer("answer for masons")
		_, err := c.reader.ReadByte()
		require.ErrorIs(t, err, io.EOF, "the connection is closed after the answer")
	}
	<-stopped
}

// A call that was still in flight at the end of the time to stop got no answer at all.
func TestStoppingEntryAnswersCallsThatItAborts(t *testing.T) {
	d := newDeployment(t)
	received, released := make(chan struct{}, 1), make(chan struct{})
	slow := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		received <- struct{}{}
		<-released
	}))
	t.Cleanup(slow.Close)
	t.Cleanup(func() { close(released) })
	d.setListed(endpointOf("e1", "", slow))
	d.put(d.keepers[0], ruleset(5, "k1"))
	c := d.mustDial()
	d.requireEventually("k2", string(forwarder.Unauthorized)) // the rules are in force
	for c.isRefused(callerRequest, received) {
	}
	ctx, cancel := context.WithCancel(context.Background())
	stopped := d.stopEntry(ctx)
	cancel()
	c.requireAnswer(string(forwarder.Unknown) + "\n")
	<-stopped
}

// A stopping node took calls that could last longer than its time to stop, and broke them off at the end.
func TestStoppingEntryRefusesCallsThatMayNotEndInTime(t *testing.T) {
	d := newDeployment(t)
	d.put(d.keepers[0], ruleset(5, "k1")) // with a timeout of 5 s
	d.requireEventually("k1", "answer for masons")
	c := d.mustDial()
	half := len(callerRequest) / 2
	c.send(callerRequest[:half])
	ctx, cancel := context.WithTimeout(context.Background(), 7*time.Second) // 2.5 s of them are for the load balancer
	defer cancel()
	stopped := d.stopEntry(ctx)
	d.awaitDrain()
	c.send(callerRequest[half:])
	require.True(t, c.requireAnswer("the node is stopping\n"))
	<-stopped
}

// A keeper that stopped dropped operators' requests of which it had read a part.
func TestStoppingKeeperAnswersOperators(t *testing.T) {
	d := newDeployment(t)
	address := d.host + ".1:9300"
	kept, fresh := d.mustDialTo(address), d.mustDialTo(address)
	kept.send(callerRequest)
	kept.requireAnswer("404 page not found\n")
	half := len(callerRequest) / 2
	kept.send(callerRequest[:half])
	fresh.send(callerRequest[:half])
	stopped := d.stopNode(context.Background(), d.keepers[0])
	d.awaitDrainOf(address)
	for _, c := range []*callerConn{kept, fresh} {
		c.send(callerRequest[half:])
		c.requireAnswer("404 page not found\n")
	}
	<-stopped
}
