package placer_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"hyssoprudder/internal/request/placer"
)

// Guards against calls that leave the regions of their route or customer, also as a last resort.
func TestCallsStayInTheirRegions(t *testing.T) {
	north, south := []string{"north"}, []string{"south"}
	for name, tc := range map[string]struct {
		route, customer []string
		domains         []string
	}{
		"not restricted":              {nil, nil, []string{"a", "b", "c"}},
		"route":                       {north, nil, []string{"a"}},
		"customer":                    {nil, south, []string{"b"}},
		"both":                        {[]string{"north", "south"}, south, []string{"b"}},
		"no common region":            {north, south, nil},
		"unknown region":              {[]string{"west"}, nil, nil},
		"domain without region":       {[]string{""}, nil, nil},
		"all regions, none for one":   {[]string{"north", "south"}, nil, []string{"a", "b"}},
		"route's regions are a union": {[]string{"south", "west"}, nil, []string{"b"}},
	} {
		for _, count := range []int{9, 60} {
			t.Run(name, func(t *testing.T) {
				p := placer.New()
				p.SetRegions(map[string]string{"a": "north", "b": "south"})
				p.SetEndpoints(newEndpoints(count, 0))
				seen := make(map[string]bool)
				for i := range 300 {
					req := newRequest(start, uint64(i))
					req.RouteHomes, req.CustomerHomes, req.IsLastResort = tc.route, tc.customer, i%2 == 0
					c, refusal, _ := p.Place(req)
					if c == nil {
						require.Equal(t, placer.RefusedEmpty, refusal)
						continue
					}
					seen[c.Endpoint().Domain] = true
					p.End(c, placer.Abandoned, start)
				}
				for domain := range seen {
					require.Contains(t, tc.domains, domain)
				}
				require.Equal(t, len(tc.domains) > 0, len(seen) > 0)
			})
		}
	}
}
