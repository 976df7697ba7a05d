package operator_test

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"hyssoprudder/internal/connection/operator"
	"hyssoprudder/internal/standin/answerer"
)

// command is a request of an operator, with a sound body of its answer.
type command struct {
	body string
	send func(t *testing.T, c *operator.Client) error
	code operator.Code // for an answer that is lost
}

func commands() map[string]command {
	return map[string]command{
		"rules": {`{"revision":1}`, func(t *testing.T, c *operator.Client) error {
			_, err := c.Rules(t.Context())
			return err
		}, operator.CodeUnavailable},
		"apply": {`{"revision":2}`, func(t *testing.T, c *operator.Client) error {
			_, err := c.Apply(t.Context(), operator.Change{})
			return err
		}, operator.CodeUnknown},
		"abort": {`{}`, func(t *testing.T, c *operator.Client) error {
			_, err := c.Abort(t.Context(), "s")
			return err
		}, operator.CodeUnknown},
	}
}

func forEachAnswer(t *testing.T, answers map[string]answerer.Answer, check func(t *testing.T, c command, err error)) {
	for name, answer := range answers {
		for kind, command := range commands() {
			t.Run(kind+", "+name, func(t *testing.T) {
				t.Parallel()
				s, err := answerer.Listen(answerer.Whole(answer, func(*http.Request) http.Header { return nil }, command.body))
				require.NoError(t, err)
				defer s.Close()
				check(t, command, command.send(t, operator.NewClient(s.Address(), "token", nil)))
			})
		}
	}
}

// A change whose answer is broken may have been accepted, which the operator has to be told.
func TestBrokenAnswerIsALostOne(t *testing.T) {
	forEachAnswer(t, answerer.Broken(), func(t *testing.T, c command, err error) {
		t.Helper()
		var fault *operator.Fault
		require.ErrorAs(t, err, &fault)
		require.Equal(t, c.code, fault.Code)
	})
}

func TestSoundAnswerIsAccepted(t *testing.T) {
	forEachAnswer(t, answerer.Sound(), func(t *testing.T, _ command, err error) {
		t.Helper()
		require.NoError(t, err)
	})
}
