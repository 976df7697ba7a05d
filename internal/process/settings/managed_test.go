package settings_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hyssoprudder/internal/process/settings"
)

const validManaged = `
id = "front-1"
domain = "adjud"
domains = ["focsani", "adjud"]
seeds = ["10.0.0.1:8229", "10.0.0.2:8229"]
secret = "s"
roles = ["entry"]
[listen]
callers = "10.0.0.9:8221"
ready = "10.0.0.9:8224"
nodes = "10.0.0.9:7600"
[provider]
address = "10.9.0.1:80"
duties = ["usage"]
[bounds]
revoke = "5000ms"
quotaslack = 110000
retryratio = 0.2
[regions]
"focsani" = "north"
adjud = "south"
`

func TestLoadManaged(t *testing.T) {
	m, err := settings.LoadManaged(write(t, "node.toml", validManaged))
	require.NoError(t, err)
	require.Equal(t, "front-1", m.ID())
	require.Equal(t, "10.0.0.2:7600", m.Seeds()[1].String(), "seeds get the port for node-to-node traffic")
	require.Equal(t, 5*time.Second, m.Bounds().Revoke())
	require.InDelta(t, 110000, m.Bounds().QuotaSlack(), 0)
	require.True(t, m.Provider().Has("usage"))
	require.False(t, m.Provider().Has("scaling"))
	require.Equal(t, 3*time.Second, m.Bounds().Drain(), "omitted bounds have defaults")
	require.Equal(t, 4*time.Second, m.Bounds().CatchUp())
	require.Equal(t, 1, m.Tolerated())
	require.Equal(t, map[string]string{"focsani": "north", "adjud": "south"}, m.Regions())
	require.False(t, m.IsRationed(), "rationing is off unless it is asked for")
	require.Equal(t, 5_500, m.ClientLimits().Fields())
	require.Zero(t, m.ClientLimits().Connections(), "omitted bounds follow the machine")
}

func TestLoadManagedFaults(t *testing.T) {
	cases := map[string]struct{ old, replacement, key, want string }{
		"unknown key":                 {"revoke", "revoek", "bounds.revoek", `did you mean "bounds.revoke"?`},
		"wrong type":                  {`secret = "s"`, "secret = 1", "secret", "must be text in quotes"},
		"no number":                   {"110000", `"many"`, "bounds.quotaslack", "must be a number"},
		"half a loss":                 {`secret = "s"`, "secret = \"s\"\ntolerate = 0.5", "tolerate", "must be an integer from 0 to"},
		"below 0":                     {"= 0.2", "= -0.2", "bounds.retryratio", "out of range"},
		"unlisted domain":             {`domain = "adjud"`, `domain = "iasi"`, "domain", "not in domains"},
		"unlisted domain of a region": {`"focsani" = "north"`, `iasi = "north"`, "regions.iasi", "not in domains"},
		"region as number":            {`adjud = "south"`, "adjud = 1", "regions.adjud", "must be text"},
		"no callers":                  {`callers = "10.0.0.9:8221"`, "", "listen", "needed on a node"},
		"no seeds":                    {`seeds = ["10.0.0.1:8229", "10.0.0.2:8229"]`, "", "seeds", "is needed"},
		"keeper's data":               {`"entry"`, `"entry", "keeper"`, "data", "is needed"},
		"not TOML":                    {`secret = "s"`, "secret = s", "line 6", "expected"},
		"share above 1":               {"[bounds]", "[limits]\nshare = 1.5\n[bounds]", "limits.share", "choose from 0 to 1"},
		"part of a field":             {"[bounds]", "[limits]\nfields = 2.5\n[bounds]", "limits.fields", "must be an integer from 0 to"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			require.Contains(t, validManaged, tc.old)
			_, err := settings.LoadManaged(write(t, "node.toml", strings.Replace(validManaged, tc.old, tc.replacement, 1)))
			var faults settings.Faults
			require.ErrorAs(t, err, &faults)
			found := false
			for _, fault := range faults {
				found = found || fault.Key == tc.key && strings.Contains(fault.Want, tc.want)
			}
			require.True(t, found, "%v", err)
		})
	}
}
