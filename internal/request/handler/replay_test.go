package handler

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"hyssoprudder/internal/process/applier"
)

func TestReplayReportsTruncatedAnswer(t *testing.T) {
	complete := replay(&applier.Answer{Status: http.StatusCreated, Body: []byte("booked")})
	require.Nil(t, complete.problem)
	require.Equal(t, "booked", string(complete.answer.Body))

	truncated := replay(&applier.Answer{Status: http.StatusCreated, Truncated: true})
	require.NotNil(t, truncated.problem)
	require.Equal(t, http.StatusGone, truncated.problem.Status())
	require.Equal(t, OutcomeDone, truncated.problem.Outcome())
}
