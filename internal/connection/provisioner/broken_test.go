package provisioner_test

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"hyssoprudder/internal/connection/provisioner"
	"hyssoprudder/internal/standin/answerer"
)

// request is a request to the provider, with a sound body of its answer.
type request struct {
	body string
	send func(t *testing.T, c *provisioner.Client) error
}

func requests() map[string]request {
	return map[string]request{
		"list": {`{"instances":[]}`, func(t *testing.T, c *provisioner.Client) error {
			_, err := c.Instances(t.Context())
			return err
		}},
		"notices": {`{"notices":[]}`, func(t *testing.T, c *provisioner.Client) error {
			_, err := c.Notices(t.Context(), 0)
			return err
		}},
		"classes": {`{"classes":[]}`, func(t *testing.T, c *provisioner.Client) error {
			_, err := c.Classes(t.Context())
			return err
		}},
		"start": {`{"id":"i1"}`, func(t *testing.T, c *provisioner.Client) error {
			_, err := c.Start(t.Context(), provisioner.Start{Intent: "a"})
			return err
		}},
		"release": {`{}`, func(t *testing.T, c *provisioner.Client) error { return c.Release(t.Context(), "i1") }},
		"weights": {`{}`, func(t *testing.T, c *provisioner.Client) error { return c.LoadWeights(t.Context(), "s", "v", "i1") }},
	}
}

func forEachAnswer(t *testing.T, answers map[string]answerer.Answer, check func(t *testing.T, err error)) {
	for name, answer := range answers {
		for kind, request := range requests() {
			t.Run(kind+", "+name, func(t *testing.T) {
				t.Parallel()
				s, err := answerer.Listen(answerer.Whole(answer, func(*http.Request) http.Header { return nil }, request.body))
				require.NoError(t, err)
				defer s.Close()
				c := provisioner.New(s.Address())
				defer c.Close()
				check(t, request.send(t, c))
			})
		}
	}
}

// A status without meaning counted as a success, so that an order counted as carried out.
func TestBrokenAnswerIsNoSuccess(t *testing.T) {
	forEachAnswer(t, answerer.Broken(), func(t *testing.T, err error) {
		t.Helper()
		require.Error(t, err)
		require.NotErrorIs(t, err, provisioner.ErrNotFound)
		require.NotErrorIs(t, err, provisioner.ErrNoCapacity)
	})
}

func TestSoundAnswerIsSuccess(t *testing.T) {
	forEachAnswer(t, answerer.Sound(), func(t *testing.T, err error) {
		t.Helper()
		require.NoError(t, err)
	})
}
