package assembler

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against entries of different size that all take the same number of calls, and against a
// bound where the machine is not described.
func TestEntriesServeWhatTheirMachineAllows(t *testing.T) {
	cases := map[string]struct {
		memory      int64
		descriptors int
		want        int
	}{
		"not described":        {0, 0, 0},
		"smallest entry":       {144 << 20, 3075, 576},
		"largest entry":        {424 << 20, 10250, 1696},
		"few descriptors":      {424 << 20, 1000, 350},
		"memory only":          {256 << 20, 0, 1024},
		"descriptors only":     {0, 2000, 700},
		"too little of either": {1 << 20, 10, 64},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, tc.want, maxCalls(tc.memory, tc.descriptors))
		})
	}
}
