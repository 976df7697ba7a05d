package dialer_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"hyssoprudder/internal/connection/dialer"
)

func address(t *testing.T, s *httptest.Server) netip.AddrPort {
	t.Helper()
	return netip.MustParseAddrPort(s.Listener.Addr().String())
}

func TestDoReportsWhetherTheCallWasSent(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	unused := netip.MustParseAddrPort(closed.Addr().String())
	closed.Close()

	closing := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err == nil {
			conn.Close()
		}
	}))
	defer closing.Close()
	refusing := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Outcome", "notrun")
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer refusing.Close()

	cases := map[string]struct {
		to         netip.AddrPort
		mayHaveRun bool
	}{
		"no listener":       {unused, false},
		"connection closed": {address(t, closing), true},
		"endpoint refuses":  {address(t, refusing), false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			d := dialer.New()
			defer d.Close()
			_, err := d.Do(context.Background(), tc.to, dialer.Request{ID: "r", Method: http.MethodPost, Path: "/", Body: []byte("x")})
			require.Error(t, err)
			require.Equal(t, tc.mayHaveRun, dialer.MayHaveRun(err))
		})
	}
}

// net/http must not send a call again if a pooled connection breaks after the call was
// written, even though the call has an idempotency key.
func TestDoNeverSendsTwice(t *testing.T) {
	for name, body := range map[string]string{"body": "x", "empty body": ""} {
		t.Run(name, func(t *testing.T) {
			var calls atomic.Int32
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				if calls.Add(1) == 1 {
					return
				}
				conn, _, err := w.(http.Hijacker).Hijack()
				if err == nil {
					conn.Close()
				}
			}))
			defer s.Close()
			d := dialer.New()
			defer d.Close()
			req := dialer.Request{ID: "r", Key: "k", Method: http.MethodPost, Path: "/", Body: []byte(body)}
			_, err := d.Do(context.Background(), address(t, s), req)
			require.NoError(t, err)
			_, err = d.Do(context.Background(), address(t, s), req)
			require.Error(t, err)
			require.True(t, dialer.MayHaveRun(err))
			require.EqualValues(t, 2, calls.Load())
		})
	}
}

func TestStream(t *testing.T) {
	cases := map[string]struct {
		text string
		want []dialer.Event
		err  error
	}{
		"complete": {"id: 1\ndata: {\"token\":\"a\"}\n\nevent: done\ndata: {\"count\":1,\"cached\":2,\"computed\":3}\n\n",
			[]dialer.Event{{ID: 1, Token: "a"}, {Kind: dialer.EventDone, Count: 1, Cached: 2, Computed: 3}}, nil},
		"truncated": {"id: 1\ndata: {\"token\":\"a\"}\n\nid: 2\ndata: {\"tok", []dialer.Event{{ID: 1, Token: "a"}}, dialer.ErrTruncated},
		"moved":     {"event: moved\ndata: {}\n\n", nil, dialer.ErrMoved},
		"malformed": {"id: x\n\n", nil, dialer.ErrTruncated},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				fmt.Fprint(w, tc.text)
			}))
			defer s.Close()
			d := dialer.New()
			defer d.Close()
			stream, err := d.Generate(context.Background(), address(t, s), dialer.Generation{Request: "r"})
			require.NoError(t, err)
			defer stream.Close()
			got, err := readAll(stream)
			require.Equal(t, tc.want, got)
			if tc.err != nil {
				require.ErrorIs(t, err, tc.err)
			}
		})
	}
}

func readAll(stream *dialer.Stream) ([]dialer.Event, error) {
	var events []dialer.Event
	for {
		event, err := stream.Next()
		if err != nil {
			return events, err
		}
		events = append(events, event)
		if event.Kind == dialer.EventDone {
			return events, nil
		}
	}
}

func TestStatusNotFound(t *testing.T) {
	s := httptest.NewServer(http.NotFoundHandler())
	defer s.Close()
	d := dialer.New()
	defer d.Close()
	_, err := d.Status(context.Background(), address(t, s), "/bookings/{key}", "a/b")
	var status *dialer.StatusError
	require.True(t, errors.As(err, &status))
	require.Equal(t, http.StatusNotFound, status.Status())
}

func ExampleDialer_CurrentOrder() {
	engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, `{"fence":{"term":4,"count":9},"service":"pumice","version":"13","role":"serve","state":"ready"}`)
	}))
	defer engine.Close()
	d := dialer.New()
	defer d.Close()
	order, err := d.CurrentOrder(context.Background(), netip.MustParseAddrPort(engine.Listener.Addr().String()))
	fmt.Println(order.Version, order.Fence.Term, err)
	// Output: 13 4 <nil>
}

func TestOrderWithOldFenceIsStale(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusConflict)
	}))
	defer s.Close()
	d := dialer.New()
	defer d.Close()
	err := d.Order(context.Background(), address(t, s), dialer.Order{Fence: dialer.Fence{Term: 1}})
	require.ErrorIs(t, err, dialer.ErrStale)
}
