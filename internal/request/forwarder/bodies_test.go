package forwarder_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hyssoprudder/internal/request/forwarder"
)

// sender makes a call whose body is not sent until it is released.
type sender struct {
	front    *front
	size     int64
	began    chan struct{}
	released chan struct{}
	done     chan string // the refusal
}

func (s *sender) run() {
	w := httptest.NewRecorder()
	s.front.forwarder.Serve(context.Background(), w, &forwarder.Call{
		ID: "c1", Method: http.MethodPost, Target: "/safe/1", Host: "a.example", Path: "/safe/1", Header: http.Header{},
		Key: "k1", IsKeyed: true, Arrived: time.Now(), Wait: time.Minute, Size: s.size,
		Body: func(int64) ([]byte, forwarder.Refusal) {
			close(s.began)
			<-s.released
			return []byte("body"), forwarder.None
		},
	})
	s.done <- w.Header().Get("Refusal")
}

func newSender(f *front, size int64) *sender {
	s := &sender{f, size, make(chan struct{}), make(chan struct{}), make(chan string, 1)}
	go s.run()
	return s
}

// Bodies that are being read don't take more memory than a node has: the next one
// is refused before a byte of it is read, and served when there is room again.
func TestMemoryOfBodiesIsBounded(t *testing.T) {
	for name, size := range map[string]int64{"stated sizes": 4 << 20, "sizes that are not stated": -1} {
		t.Run(name, func(t *testing.T) {
			f := newFront(t, newEndpoint(t, answer(http.StatusOK, "ok")))
			f.quotas.SetRates(nil)
			var reading []*sender
			for range 16 {
				s := newSender(f, size)
				<-s.began
				reading = append(reading, s)
			}
			require.Equal(t, string(forwarder.Busy), <-newSender(f, size).done)
			for _, s := range reading {
				close(s.released)
				require.Empty(t, <-s.done)
			}
			again := newSender(f, size)
			<-again.began
			close(again.released)
			require.Empty(t, <-again.done)
		})
	}
}
