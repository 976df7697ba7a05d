package settings_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"hyssoprudder/internal/process/parser"
	"hyssoprudder/internal/process/settings"
)

// The example deployments are valid and have the expected failure domains and numbers of
// nodes, keepers and customers.
func TestExamples(t *testing.T) {
	cases := map[string]struct {
		domains   []string
		nodes     int
		keepers   int
		customers int
	}{
		"vrancea":  {[]string{"focsani", "adjud", "panciu"}, 6, 3, 5},
		"grasflot": {[]string{"reykjavik-a", "hafnarfjordur-b", "keflavik-c"}, 6, 3, 5},
	}
	for firm, tc := range cases {
		t.Run(firm, func(t *testing.T) {
			all, err := settings.LoadAll(copyExample(t, firm))
			require.NoError(t, err)
			require.Len(t, all, tc.nodes)
			keepers := 0
			for _, s := range all {
				require.Equal(t, tc.domains, s.Domains())
				if s.Has(settings.RoleKeeper) {
					keepers++
				}
			}
			require.Equal(t, tc.keepers, keepers)

			text, err := os.ReadFile(filepath.Join("../../../examples", firm, "rules.txt"))
			require.NoError(t, err)
			rules, err := parser.Parse(string(text))
			require.NoError(t, err)
			require.Len(t, rules.Customers(), tc.customers)
		})
	}
}

// copyExample copies the nodes' settings files to a folder with a key and a token, since
// the repository does not contain these.
func copyExample(t *testing.T, firm string) []string {
	t.Helper()
	dir := t.TempDir()
	for _, name := range []string{"deployment.key", "operators.token"} {
		require.NoError(t, os.WriteFile(filepath.Join(dir, name), []byte("x"), 0o600))
	}
	files, err := filepath.Glob(filepath.Join("../../../examples", firm, "*-[0-9].toml"))
	require.NoError(t, err)
	var copies []string
	for _, file := range files {
		raw, err := os.ReadFile(file)
		require.NoError(t, err)
		copied := filepath.Join(dir, filepath.Base(file))
		require.NoError(t, os.WriteFile(copied, raw, 0o600))
		copies = append(copies, copied)
	}
	return copies
}
