package registrar_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hyssoprudder/internal/process/registrar"
)

// A node served calls for seconds by rules that it knew to be replaced, because it could not get the new ones.
func TestOutdatedRulesAge(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	var f registrar.Freshness
	require.Zero(t, f.Outdated(0, at(0)), "no ruleset was named")
	f.Name(5, 5, at(1))
	require.Zero(t, f.Outdated(5, at(9)))
	f.Name(7, 5, at(10))
	f.Name(7, 5, at(11))
	require.Equal(t, 2*time.Second, f.Outdated(5, at(12)))
	f.Name(9, 5, at(13))
	require.Equal(t, 4*time.Second, f.Outdated(5, at(14)), "a further ruleset does not make the old one fresh")
	require.Zero(t, f.Outdated(9, at(15)))
	f.Name(8, 9, at(16))
	require.Zero(t, f.Outdated(9, at(17)), "an older ruleset is named late")
	f.Name(12, 9, at(18))
	require.Equal(t, time.Second, f.Outdated(9, at(19)))
}
