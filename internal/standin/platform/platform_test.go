package platform_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"hyssoprudder/internal/process/clock"
	"hyssoprudder/internal/standin/faulter"
	"hyssoprudder/internal/standin/platform"
)

func start(t *testing.T, change func(*platform.Settings)) *platform.Platform {
	t.Helper()
	settings, err := platform.Read("../../../examples/vrancea/platform.toml")
	require.NoError(t, err)
	settings.Listen, settings.Scale = "127.0.0.1:0", 0.01
	if change != nil {
		change(&settings)
	}
	p, err := platform.Start(settings, clock.System{})
	require.NoError(t, err)
	t.Cleanup(func() {
		p.Stop(context.Background())
		http.DefaultClient.CloseIdleConnections()
		goleak.VerifyNone(t)
	})
	return p
}

func post(t *testing.T, p *platform.Platform, path, body string, into any) int {
	t.Helper()
	answer, err := http.Post("http://"+p.Address().String()+path, "application/json", bytes.NewReader([]byte(body)))
	require.NoError(t, err)
	defer answer.Body.Close()
	_ = json.NewDecoder(answer.Body).Decode(into)
	return answer.StatusCode
}

func get(t *testing.T, p *platform.Platform, path string, into any) {
	t.Helper()
	answer, err := http.Get("http://" + p.Address().String() + path)
	require.NoError(t, err)
	defer answer.Body.Close()
	require.NoError(t, json.NewDecoder(answer.Body).Decode(into))
}

func TestExamplesHaveTheFleetsOfTheFirms(t *testing.T) {
	tests := map[string]struct {
		domains []string
		want    map[string]int
	}{
		"vrancea":  {[]string{"focsani", "adjud", "panciu"}, map[string]int{"pumice": 9, "bookings": 3}},
		"grasflot": {[]string{"reykjavik-a", "hafnarfjordur-b", "keflavik-c"}, map[string]int{"drafts": 18, "rota": 3}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			settings, err := platform.Read("../../../examples/" + name + "/platform.toml")
			require.NoError(t, err)
			counts, domains := map[string]int{}, map[string]int{}
			for _, fleet := range settings.Fleets {
				counts[fleet.Service] += fleet.Count
				domains[fleet.Domain] += fleet.Count
			}
			require.Equal(t, test.want, counts)
			require.Len(t, domains, 3)
			for _, domain := range test.domains {
				require.Equal(t, (counts["pumice"]+counts["bookings"]+counts["drafts"]+counts["rota"])/3, domains[domain])
			}
		})
	}
}

const body = `{"intent":%q,"domain":"adjud","class":"small","market":"ondemand","service":"pumice","version":"13"}`

func TestStarts(t *testing.T) {
	tests := map[string]struct {
		change  func(*platform.Settings)
		intents []string
		status  []int
		made    int
	}{
		"same intent makes one": {intents: []string{"a", "a", "b"}, status: []int{201, 201, 201}, made: 2},
		"too fast":              {change: func(s *platform.Settings) { s.StartRate = 0.0001 }, intents: []string{"a", "b", "a"}, status: []int{201, 429, 201}, made: 1},
		"no capacity":           {change: func(s *platform.Settings) { s.RefuseRate = 1 }, intents: []string{"a"}, status: []int{503}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := start(t, test.change)
			for n, intent := range test.intents {
				require.Equal(t, test.status[n], post(t, p, "/instances", fmt.Sprintf(body, intent), nil))
			}
			require.Eventually(t, func() bool {
				var listing platform.Listing
				get(t, p, "/instances", &listing)
				return len(listing.Instances) == 12+test.made
			}, 30*time.Second, 5*time.Millisecond)
		})
	}
}

func TestStartedEngineServesOnceWeightsAreThere(t *testing.T) {
	p := start(t, func(s *platform.Settings) { s.MaxLoads = 1 })
	var one, two platform.Instance
	post(t, p, "/instances", fmt.Sprintf(body, "a"), &one)
	post(t, p, "/instances", fmt.Sprintf(body, "b"), &two)
	weights := `{"service":"pumice","version":"13","id":%q}`
	require.Equal(t, 202, post(t, p, "/weights", fmt.Sprintf(weights, one.ID), nil))
	require.Equal(t, 202, post(t, p, "/weights", fmt.Sprintf(weights, one.ID), nil))
	require.Equal(t, 429, post(t, p, "/weights", fmt.Sprintf(weights, two.ID), nil))
	require.Equal(t, 404, post(t, p, "/weights", fmt.Sprintf(weights, "none"), nil))
	for _, address := range []string{one.Address, two.Address} {
		require.Eventually(t, func() bool {
			answer, err := http.Get("http://" + address + "/healthz")
			if err != nil {
				return false
			}
			answer.Body.Close()
			return answer.StatusCode == http.StatusOK
		}, 30*time.Second, 5*time.Millisecond)
	}
}

func TestReclaimOfADomain(t *testing.T) {
	tests := map[string]struct {
		request   platform.ReclaimRequest
		reclaimed int
		notices   int
	}{
		"with notice":    {platform.ReclaimRequest{Domain: "adjud", NoticeMillis: 30}, 3, 3},
		"notice twice":   {platform.ReclaimRequest{Domain: "adjud", NoticeMillis: 30, RepeatNotice: true}, 3, 6},
		"late notice":    {platform.ReclaimRequest{Domain: "adjud", NoticeMillis: 30, NoticeDelayMillis: 20}, 3, 3},
		"one by one":     {platform.ReclaimRequest{Domain: "adjud", NoticeMillis: 10, IntervalMillis: 10}, 3, 3},
		"without notice": {platform.ReclaimRequest{Domain: "adjud", NoticeMillis: 10, WithoutNotice: true}, 3, 0},
		"on demand too":  {platform.ReclaimRequest{Domain: "adjud", IncludeOnDemand: true}, 4, 4},
		"some":           {platform.ReclaimRequest{Service: "pumice", Count: 2}, 2, 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := start(t, nil)
			reclaimed := p.StartReclaim(test.request)
			require.Len(t, reclaimed, test.reclaimed)
			require.Eventually(t, func() bool { return len(p.Instances()) == 12-test.reclaimed }, 30*time.Second, time.Millisecond)
			var notices struct{ Notices []platform.Notice }
			get(t, p, "/notices?after=0", &notices)
			require.Len(t, notices.Notices, test.notices)
			get(t, p, fmt.Sprintf("/notices?after=%d", test.notices), &notices)
			require.Empty(t, notices.Notices)
		})
	}
}

func TestFaultOfAVersionReachesLaterInstances(t *testing.T) {
	p := start(t, nil)
	var set struct{ Instances int }
	post(t, p, "/services/pumice/faults", `{"version":"13","fail_load":true}`, &set)
	require.Equal(t, 9, set.Instances)
	var made platform.Instance
	post(t, p, "/instances", fmt.Sprintf(body, "a"), &made)
	answer, err := http.Get("http://" + made.Address + "/faults")
	require.NoError(t, err)
	defer answer.Body.Close()
	var faults []faulter.Fault
	require.NoError(t, json.NewDecoder(answer.Body).Decode(&faults))
	require.Equal(t, []faulter.Fault{{Version: "13", FailLoad: true}}, faults)
}

func TestSettingsNameEachError(t *testing.T) {
	settings := platform.Settings{
		Listen: "localhost:1", Services: []platform.Service{{Name: "pumice", Kind: "modell"}},
		Fleets: []platform.Fleet{{Service: "pumce", Domain: "adjud", Class: "small", Market: "spot"}},
	}
	err := platform.Check(settings)
	for _, want := range []string{"listen", "modell", "adjud sells no spot small", "fleet of pumce: no such service"} {
		require.True(t, strings.Contains(err.Error(), want), "%s in %v", want, err)
	}
}
