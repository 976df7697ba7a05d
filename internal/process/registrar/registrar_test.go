package registrar_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hyssoprudder/internal/process/registrar"
)

func route(name, host, prefix string, shares ...registrar.Share) registrar.Route {
	if len(shares) == 0 {
		shares = []registrar.Share{{Service: "desk", Weight: 1}}
	}
	return registrar.Route{Name: name, Host: host, Prefix: prefix, Timeout: time.Second, Shares: shares}
}

func ruleset() *registrar.Ruleset {
	return &registrar.Ruleset{
		Number: 3, RequiresKeys: true,
		Routes: []registrar.Route{
			route("short", "a.example", "/orders/"), route("long", "a.example", "/orders/bags/"), route("other", "b.example", "/"),
		},
		Services:  []registrar.Service{{Name: "desk"}, {Name: "app"}},
		Customers: []registrar.Customer{{Name: "masons", Keys: []string{"k1", "k2"}}, {Name: "depots", Keys: []string{"k3"}}},
	}
}

func TestCheck(t *testing.T) {
	cases := map[string]struct {
		change func(r *registrar.Ruleset)
		want   string
	}{
		"valid":           {func(*registrar.Ruleset) {}, ""},
		"unknown service": {func(r *registrar.Ruleset) { r.Routes[0].Shares[0].Service = "dask" }, `service "dask", which is not defined`},
		"no weight":       {func(r *registrar.Ruleset) { r.Routes[0].Shares[0].Weight = 0 }, "add up to 0"},
		"below 0":         {func(r *registrar.Ruleset) { r.Routes[0].Shares[0].Weight = -1 }, "below 0"},
		"no timeout":      {func(r *registrar.Ruleset) { r.Routes[1].Timeout = 0 }, "timeout must be above 0"},
		"same prefix":     {func(r *registrar.Ruleset) { r.Routes[1].Prefix = "/orders/" }, "same host and prefix"},
		"same host":       {func(r *registrar.Ruleset) { r.Routes[2].Host, r.Routes[2].Prefix = "A.example", "/orders/" }, "same host and prefix"},
		"shared key":      {func(r *registrar.Ruleset) { r.Customers[1].Keys = []string{"k2"} }, "share a key"},
		"bare prefix":     {func(r *registrar.Ruleset) { r.Routes[0].Prefix = "/orders" }, "must begin and end with a slash"},
		"service twice":   {func(r *registrar.Ruleset) { r.Services[1].Name = "desk" }, "stands twice"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			r := ruleset()
			tc.change(r)
			err := r.Check()
			if tc.want == "" {
				require.NoError(t, err)
				return
			}
			require.ErrorContains(t, err, tc.want)
		})
	}
}

func TestRoute(t *testing.T) {
	table := registrar.NewTable(ruleset())
	cases := map[string]struct{ host, path, want string }{
		"short prefix":   {"a.example", "/orders/7", "short"},
		"longest prefix": {"a.example", "/orders/bags/7", "long"},
		"with a port":    {"a.example:8080", "/orders/7", "short"},
		"other case":     {"A.Example", "/orders/7", "short"},
		"whole host":     {"b.example", "/orders/7", "other"},
		"no slash":       {"a.example", "/orders", ""},
		"unknown host":   {"c.example", "/orders/7", ""},
		"path as sent":   {"a.example", "//orders/7", ""},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			r, ok := table.Route(tc.host, tc.path)
			require.Equal(t, tc.want != "", ok)
			if ok {
				require.Equal(t, tc.want, r.Name)
			}
		})
	}
}

func TestPickFollowsWeights(t *testing.T) {
	r := route("split", "a.example", "/", registrar.Share{Service: "desk", Weight: 90}, registrar.Share{Service: "app", Weight: 10}, registrar.Share{Service: "none"})
	counts := make(map[string]int)
	for i := range 1000 {
		counts[r.Pick(float64(i)/1000)]++
	}
	require.Equal(t, map[string]int{"desk": 900, "app": 100}, counts)
}

func ExampleTable_Customer() {
	table := registrar.NewTable(ruleset())
	fmt.Println(table.Customer("k2").Name, table.Customer("k9") == nil)
	// Output: masons true
}

// Orders with thousands of routes were acknowledged seconds late: each keeper was sent them in full.
func TestEncodedRulesetIsSmall(t *testing.T) {
	const maxBytesPerRoute = 40
	want := ruleset()
	for i := range 5000 {
		want.Routes = append(want.Routes, route(fmt.Sprintf("r-%x", uint32(i)*2654435761), "a.example", fmt.Sprintf("/%x/", uint32(i)*2246822519)))
	}
	body, err := want.Encode()
	require.NoError(t, err)
	require.Less(t, len(body), maxBytesPerRoute*len(want.Routes))
	got, err := registrar.Decode(body)
	require.NoError(t, err)
	require.Equal(t, want, got)
	_, err = registrar.Decode(body[:len(body)/2])
	require.Error(t, err)
}
