package dialer_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hyssoprudder/internal/connection/dialer"
)

// repeatingEndpoint refuses the first call on each connection, and writes the refusal once
// more later. It runs all other calls.
type repeatingEndpoint struct {
	listener net.Listener
	isNamed  bool          // answers carry the ID of their call
	pause    time.Duration // the copy is written after a pause, in which the connection is idle
	onNext   bool          // the copy is written when the next call has arrived

	mu  sync.Mutex
	ran map[string]int // by ID
}

func (e *repeatingEndpoint) run() {
	for {
		c, err := e.listener.Accept()
		if err != nil {
			return
		}
		s := &repeatingConn{e, c}
		go s.run()
	}
}

type repeatingConn struct {
	endpoint *repeatingEndpoint
	conn     net.Conn
}

func (s *repeatingConn) run() {
	defer s.conn.Close()
	reader, e := bufio.NewReader(s.conn), s.endpoint
	refusal := ""
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		id := r.Header.Get("Request")
		name := ""
		if e.isNamed {
			name = "Request: " + id + "\r\n"
		}
		if refusal == "" {
			refusal = "HTTP/1.1 503 X\r\n" + name + "Outcome: notrun\r\nContent-Length: 0\r\n\r\n"
			_, _ = io.WriteString(s.conn, refusal)
			if !e.onNext {
				time.Sleep(e.pause)
				_, _ = io.WriteString(s.conn, refusal)
			}
			continue
		}
		e.mu.Lock()
		e.ran[id]++
		e.mu.Unlock()
		if e.onNext {
			_, _ = io.WriteString(s.conn, refusal)
		}
		_, _ = fmt.Fprintf(s.conn, "HTTP/1.1 200 X\r\n%sContent-Length: 3\r\n\r\nran", name)
	}
}

// Guards against an earlier refusal, written once more on a kept connection, that answers the
// next call: the caller would be told that the call did not run.
func TestEarlierRefusalAnswersNoOtherCall(t *testing.T) {
	calls := map[string]func(d *dialer.Dialer, to netip.AddrPort, id string) error{
		"plain": func(d *dialer.Dialer, to netip.AddrPort, id string) error {
			_, err := d.Do(context.Background(), to, dialer.Request{ID: id, Method: http.MethodPost, Path: "/", Body: []byte("x")})
			return err
		},
		"model": func(d *dialer.Dialer, to netip.AddrPort, id string) error {
			stream, err := d.Generate(context.Background(), to, dialer.Generation{Request: id})
			if err == nil {
				stream.Close()
			}
			return err
		},
	}
	cases := map[string]repeatingEndpoint{
		"with the refusal": {isNamed: true}, "with it, no IDs": {}, "while idle": {isNamed: true, pause: 5 * time.Millisecond},
		"while idle, no IDs": {pause: 5 * time.Millisecond}, "for the next call": {isNamed: true, onNext: true}, "for the next call, no IDs": {onNext: true},
	}
	for kind, call := range calls {
		for name := range cases {
			for again, id := range map[string]string{"another call": "r2", "the same call": "r1"} {
				t.Run(kind+"/"+name+"/"+again, func(t *testing.T) {
					t.Parallel()
					l, err := net.Listen("tcp", "127.0.0.1:0")
					require.NoError(t, err)
					defer l.Close()
					e := &repeatingEndpoint{listener: l, ran: make(map[string]int)}
					e.isNamed, e.pause, e.onNext = cases[name].isNamed, cases[name].pause, cases[name].onNext
					go e.run()
					d := dialer.New()
					defer d.Close()
					to := netip.MustParseAddrPort(l.Addr().String())
					require.ErrorIs(t, call(d, to, "r1"), dialer.ErrNotRun)
					err = call(d, to, id)
					e.mu.Lock()
					defer e.mu.Unlock()
					if errors.Is(err, dialer.ErrNotRun) {
						require.Zero(t, e.ran[id], "the call ran, and was said not to have run")
					}
				})
			}
		}
	}
}

// Guards against a refusal that names another call.
func TestRefusalOfAnotherCallIsNone(t *testing.T) {
	for name, tc := range map[string]struct {
		header string
		notRun bool
	}{
		"own call":     {"Request: r1\r\n", true},
		"another call": {"Request: r0\r\n", false},
		"two calls":    {"Request: r0\r\nRequest: r1\r\n", false},
		"no ID":        {"", true},
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer l.Close()
			e := &singleAnswer{listener: l, text: "HTTP/1.1 503 X\r\n" + tc.header + "Outcome: notrun\r\nContent-Length: 0\r\n\r\n"}
			go e.run()
			d, other := dialer.New(), dialer.New()
			defer d.Close()
			defer other.Close()
			to := netip.MustParseAddrPort(l.Addr().String())
			_, err = d.Do(context.Background(), to, dialer.Request{ID: "r1", Method: http.MethodPost, Path: "/"})
			require.Error(t, err)
			require.Equal(t, tc.notRun, !dialer.MayHaveRun(err))
			_, err = other.Generate(context.Background(), to, dialer.Generation{Request: "r1"})
			require.Error(t, err)
			require.Equal(t, tc.notRun, !dialer.MayHaveRun(err))
		})
	}
}

// singleAnswer answers the first call on each connection with a text.
type singleAnswer struct {
	listener net.Listener
	text     string
}

func (e *singleAnswer) run() {
	for {
		c, err := e.listener.Accept()
		if err != nil {
			return
		}
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err == nil {
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(c, e.text)
		}
		c.Close()
	}
}
