package dialer_test

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"hyssoprudder/internal/connection/dialer"
	"hyssoprudder/internal/standin/answerer"
)

// operation is one call to an endpoint, with a sound body of its answer.
type operation struct {
	body string
	run  func(ctx context.Context, d *dialer.Dialer, to netip.AddrPort) error
}

func operations() map[string]operation {
	return map[string]operation{
		"call": {"an answer", func(ctx context.Context, d *dialer.Dialer, to netip.AddrPort) error {
			answer, err := d.Do(ctx, to, dialer.Request{ID: "c1", Method: http.MethodPost, Path: "/one", Body: []byte("x")})
			if err == nil && string(answer.Body) != "an answer" {
				return errOtherBody
			}
			return err
		}},
		"stream": {"id: 1\ndata: {\"token\":\"a\"}\n\nevent: done\ndata: {\"count\":1}\n\n", generate},
		"load": {`{"id":"e1","running":1}`, func(ctx context.Context, d *dialer.Dialer, to netip.AddrPort) error {
			_, err := d.Load(ctx, to)
			return err
		}},
		"status path": {`{"key":"k","state":"done","status":200,"body":"b"}`, func(ctx context.Context, d *dialer.Dialer, to netip.AddrPort) error {
			_, err := d.Status(ctx, to, "/bookings/{key}", "k")
			return err
		}},
		"order": {"{}", func(ctx context.Context, d *dialer.Dialer, to netip.AddrPort) error {
			return d.Order(ctx, to, dialer.Order{Intent: "i"})
		}},
		"cache events": {`{"events":[]}`, func(ctx context.Context, d *dialer.Dialer, to netip.AddrPort) error {
			_, err := d.Events(ctx, to, 0)
			return err
		}},
		"export": {`{"handle":"h"}`, func(ctx context.Context, d *dialer.Dialer, to netip.AddrPort) error {
			_, err := d.Export(ctx, to, "c1")
			return err
		}},
	}
}

func generate(ctx context.Context, d *dialer.Dialer, to netip.AddrPort) error {
	s, err := d.Generate(ctx, to, dialer.Generation{Request: "c1", Prompt: "p"})
	if err != nil {
		return err
	}
	defer s.Close()
	for {
		event, err := s.Next()
		if err != nil || event.Kind == dialer.EventDone {
			return err
		}
	}
}

// errOtherBody means that an answer was accepted with a body that is not that of the endpoint.
var errOtherBody = errors.New("another body")

func noFields(*http.Request) http.Header { return nil }

// forEachAnswer runs each operation at an endpoint that gives the answer.
func forEachAnswer(t *testing.T, answers map[string]answerer.Answer, check func(t *testing.T, s *answerer.Server, err error)) {
	for name, answer := range answers {
		for kind, o := range operations() {
			t.Run(kind+", "+name, func(t *testing.T) {
				t.Parallel()
				s, err := answerer.Listen(answerer.Whole(answer, noFields, o.body))
				require.NoError(t, err)
				defer s.Close()
				d := dialer.New()
				defer d.Close()
				check(t, s, o.run(t.Context(), d, s.Address()))
			})
		}
	}
}

// requireRejected checks that the answer was not taken, that the call may have run, and that it was not sent again.
func requireRejected(t *testing.T, s *answerer.Server, err error) {
	t.Helper()
	require.Error(t, err)
	require.NotErrorIs(t, err, errOtherBody)
	require.True(t, dialer.MayHaveRun(err))
	require.Equal(t, 1, s.Requests())
}

// Answers with a blank in the name of a field were accepted, without the line or with a body of another length.
func TestAnswerWithMalformedNameIsRejected(t *testing.T) {
	forEachAnswer(t, answerer.Misnamed(), requireRejected)
}

// Statuses above those of the protocol were accepted.
func TestAnswerWithImpossibleStatusIsRejected(t *testing.T) {
	forEachAnswer(t, answerer.Misstated(), requireRejected)
}

func TestAnswerOfUnknownVersionIsRejected(t *testing.T) {
	forEachAnswer(t, answerer.Misversioned(), requireRejected)
}

// The lines of the chunks were taken for parts of the body.
func TestChunksInOldVersionAreRejected(t *testing.T) {
	forEachAnswer(t, answerer.Misframed(), requireRejected)
}

func TestSoundAnswerIsAccepted(t *testing.T) {
	forEachAnswer(t, answerer.Sound(), func(t *testing.T, _ *answerer.Server, err error) {
		t.Helper()
		require.NoError(t, err)
	})
}

// A refusal in a malformed answer is no proof that the call did not run.
func TestRefusalWithMalformedHeadMayHaveRun(t *testing.T) {
	refusal := answerer.Answer("HTTP/1.1 503 X\r\nOutcome: notrun\r\nRequest: c1\r\nX-A : v\r\nContent-Length: 0\r\n\r\n")
	s, err := answerer.Listen(answerer.Whole(refusal, noFields, ""))
	require.NoError(t, err)
	defer s.Close()
	d := dialer.New()
	defer d.Close()
	_, err = d.Do(t.Context(), s.Address(), dialer.Request{ID: "c1", Method: http.MethodPost, Path: "/one"})
	require.Error(t, err)
	require.True(t, dialer.MayHaveRun(err))
}
