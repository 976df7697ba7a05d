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

// sender makes a call whose body cannot be read until released is closed.
type sender struct {
	fixture   *fixture
	size      int64
	readBegan chan struct{}
	released  chan struct{}
	done      chan string // refusal
}

func (s *sender) run() {
	w := httptest.NewRecorder()
	s.fixture.forwarder.Serve(context.Background(), w, &forwarder.Call{
		ID: "c1", Method: http.MethodPost, Target: "/safe/1", Host: "a.example", Path: "/safe/1", Header: http.Header{},
		Key: "k1", IsKeyed: true, Arrived: time.Now(), MaxWait: time.Minute, Size: s.size,
		Body: func(int64) ([]byte, forwarder.Refusal) {
			close(s.readBegan)
			<-s.released
			return []byte("body"), forwarder.None
		},
	})
	s.done <- w.Header().Get("Refusal")
}

func newSender(f *fixture, size int64) *sender {
	s := &sender{f, size, make(chan struct{}), make(chan struct{}), make(chan string, 1)}
	go s.run()
	return s
}

// The bodies that are being read must not exceed the node's memory bound: the next
// call is refused before a byte of its body is read, and served once there is room
// again.
func TestBodyMemoryIsBounded(t *testing.T) {
	for name, size := range map[string]int64{"stated sizes": 4 << 20, "sizes that are not stated": -1} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, newEndpoint(t, answerWith(http.StatusOK, "ok")))
			f.quotas.SetRates(nil)
			var reading []*sender
			for range 16 {
				s := newSender(f, size)
				<-s.readBegan
				reading = append(reading, s)
			}
			require.Equal(t, string(forwarder.Busy), <-newSender(f, size).done)
			for _, s := range reading {
				close(s.released)
				require.Empty(t, <-s.done)
			}
			again := newSender(f, size)
			<-again.readBegan
			close(again.released)
			require.Empty(t, <-again.done)
		})
	}
}
