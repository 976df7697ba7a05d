package placer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"hyssoprudder/internal/request/placer"
)

// Guards against calls to evacuated domains: new ones, ones for a version or as a last resort, and ones whose endpoint
// was chosen before. The list may be replaced meanwhile.
func TestNothingIsSentToEvacuatedDomains(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p, now := placer.New(), start
		count := rapid.SampledFrom([]int{3, 9, 60}).Draw(t, "endpoints")
		p.SetEndpoints(newEndpoints(count, 0))
		evacuated := make(map[string]bool)
		var chosen []*placer.Choice
		for range 40 {
			now = now.Add(50 * time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				var domains []string
				clear(evacuated)
				for _, d := range []string{"a", "b", "c"} {
					if rapid.Bool().Draw(t, d) {
						domains, evacuated[d] = append(domains, d), true
					}
				}
				p.SetEvacuated(domains)
			case 1:
				list := newEndpoints(count, 0)
				for i := range list {
					list[i].Leaving = rapid.IntRange(0, 9).Draw(t, "leaving") == 0
					if rapid.Bool().Draw(t, "new") {
						list[i].ID += fmt.Sprint("-", now.UnixNano())
					}
				}
				p.SetEndpoints(list)
			default:
				req := newRequest(now, uint64(rapid.IntRange(0, 9).Draw(t, "session")))
				req.IsLastResort = rapid.Bool().Draw(t, "last resort")
				req.Version = rapid.SampledFrom([]string{"", "v1"}).Draw(t, "version")
				if c, _, _ := p.Place(req); c != nil {
					require.False(t, evacuated[c.Endpoint().Domain])
					chosen = append(chosen, c)
				}
			}
			for _, c := range chosen {
				require.Equal(t, !evacuated[c.Endpoint().Domain], p.MaySend(c, now))
			}
			if len(evacuated) == 3 {
				require.False(t, p.HasEndpoint("desk"))
			}
		}
	})
}

// All nodes choose the same other affinity endpoint while the domain of the first one is evacuated.
func TestAffinityWithoutEvacuatedEndpoints(t *testing.T) {
	chosen := make(map[string]bool)
	for node := range 5 {
		p := placer.New()
		p.SetEndpoints(newEndpoints(60, 0))
		req := newRequest(start, 1)
		req.Domain = []string{"a", "b", "c"}[node%3]
		req.Blocks[0].Tokens, req.Blocks[1].Tokens = 1000, 2900
		req.Prompt = 4000
		first, _, _ := p.Place(req)
		p.End(first, placer.Answered, start)
		p.SetEvacuated([]string{first.Endpoint().Domain})
		p.SetEndpoints(newEndpoints(60, 0))
		second, _, _ := p.Place(req)
		require.NotEqual(t, first.Endpoint().Domain, second.Endpoint().Domain)
		chosen[second.Endpoint().ID] = true
	}
	require.Len(t, chosen, 1)
}

// A service whose endpoints are all evacuated refuses with that reason and a retry delay.
func TestServiceWithoutOtherDomainsIsRefused(t *testing.T) {
	list := newEndpoints(3, 0)
	list[2].Leaving = true
	p := placer.New()
	p.SetEndpoints(list)
	require.True(t, p.HasEndpoint("desk"))
	p.SetEvacuated([]string{"a", "b"})
	require.False(t, p.HasEndpoint("desk"))
	c, refusal, wait := p.Place(newRequest(start, 1))
	require.Nil(t, c)
	require.Equal(t, placer.RefusedEvacuated, refusal)
	require.Positive(t, wait)

	// Only the paused endpoint of another domain is left.
	list[2].Leaving = false
	p.SetEndpoints(list)
	p.Pause(&list[2], time.Second, start)
	req := newRequest(start, 1)
	req.Boot = start
	_, refusal, _ = p.Place(req)
	require.Equal(t, placer.RefusedPaused, refusal)

	p.SetEvacuated(nil)
	c, _, _ = p.Place(newRequest(start, 1))
	require.NotNil(t, c, "the evacuation has ended")
}
