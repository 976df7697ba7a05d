package isolator_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hyssoprudder/internal/process/attributor"
	"hyssoprudder/internal/request/isolator"
	"hyssoprudder/internal/request/placer"
)

var (
	start    = time.Unix(1000, 0)
	endpoint = placer.Endpoint{ID: "e1", Service: "desk"}
)

func prompt(ids ...uint64) []placer.PromptBlock {
	var out []placer.PromptBlock
	for _, id := range ids {
		out = append(out, placer.PromptBlock{ID: id, Tokens: 100})
	}
	return out
}

func key(block uint64) attributor.Key { return attributor.Key{Service: "desk", Block: block} }

func TestCrashIsReportedWithTheBlocksOfItsCalls(t *testing.T) {
	i := isolator.New()
	sent := start.Add(-time.Second)
	require.True(t, i.Broken(endpoint, prompt(1, 2, 90), sent, start))
	require.False(t, i.Broken(endpoint, prompt(1, 3, 91), sent.Add(time.Millisecond), start.Add(time.Millisecond)), "it is checked once")
	crashes, _, _ := i.Report(start)
	require.Empty(t, crashes, "a call that breaks off is no crash")
	i.Unreachable("e1", start.Add(2*time.Millisecond))
	crashes, _, _ = i.Report(start.Add(time.Second))
	require.Len(t, crashes, 1)
	require.Equal(t, "e1", crashes[0].Endpoint)
	require.ElementsMatch(t, []attributor.Exposure{
		{Key: key(1), Depth: 0, StartedAt: sent.Add(time.Millisecond)}, {Key: key(2), Depth: 1, StartedAt: sent},
		{Key: key(3), Depth: 1, StartedAt: sent.Add(time.Millisecond)},
	}, crashes[0].Exposures, "the last block of a prompt is no other call's")
	crashes, _, _ = i.Report(start.Add(10 * time.Second))
	require.Empty(t, crashes)
}

func TestPromptsWithoutSharedBlocksAreNoEvidence(t *testing.T) {
	i := isolator.New()
	require.False(t, i.Broken(endpoint, prompt(1), start, start))
	require.False(t, i.Broken(endpoint, nil, start, start))
}

func TestUnreachableLongAfterABreakIsNoCrash(t *testing.T) {
	i := isolator.New()
	i.Broken(endpoint, prompt(1, 2), start, start)
	i.Unreachable("e1", start.Add(5*time.Second))
	i.Unreachable("e2", start)
	crashes, _, _ := i.Report(start.Add(100 * time.Millisecond))
	require.Empty(t, crashes)
}

func TestAnswersAreReportedForSuspectsAndIsolatedBlocks(t *testing.T) {
	i := isolator.New()
	i.Answered("desk", prompt(1, 2, 3, 90), start)
	_, answers, _ := i.Report(start)
	require.Empty(t, answers, "nothing is suspected")
	i.Apply([]attributor.Suspect{{Key: key(1), Since: start}}, []attributor.Isolation{{Key: key(2), Until: start.Add(time.Minute)}}, true, start)
	i.Answered("desk", prompt(1, 2, 3, 90), start)
	i.Answered("other", prompt(1, 90), start)
	_, answers, isolations := i.Report(start)
	require.ElementsMatch(t, []attributor.Answer{{Key: key(1), At: start}, {Key: key(2), At: start}}, answers)
	require.Equal(t, []attributor.Isolation{{Key: key(2), Until: start.Add(time.Minute)}}, isolations)
}

func TestIsolatedBlocksAreFollowed(t *testing.T) {
	i := isolator.New()
	isolations := []attributor.Isolation{{Key: key(2), Until: start.Add(time.Minute)}}
	i.Apply(nil, isolations, true, start)
	require.True(t, i.IsIsolated("desk", prompt(1, 2, 90), start))
	require.False(t, i.IsIsolated("other", prompt(1, 2, 90), start), "another service has other endpoints")
	require.False(t, i.IsIsolated("desk", prompt(1, 3, 2), start), "the last block is not shared")
	i.Apply(nil, nil, false, start)
	require.True(t, i.IsIsolated("desk", prompt(2, 90), start), "a new leader may not know it yet")
	require.False(t, i.IsIsolated("desk", prompt(2, 90), start.Add(time.Hour)), "its time is over")
	i.Apply(nil, nil, true, start)
	require.False(t, i.IsIsolated("desk", prompt(2, 90), start), "the leader ended it")
}
