package handler

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"hyssoprudder/internal/process/applier"
)

func TestReplayNeverPassesAPartForTheWholeAnswer(t *testing.T) {
	whole := replay(&applier.Answer{Status: http.StatusCreated, Body: []byte("booked")})
	require.Nil(t, whole.problem)
	require.Equal(t, "booked", string(whole.answer.Body))

	cut := replay(&applier.Answer{Status: http.StatusCreated, Truncated: true})
	require.NotNil(t, cut.problem)
	require.Equal(t, http.StatusGone, cut.problem.Status())
	require.Equal(t, OutcomeDone, cut.problem.Outcome())
}
