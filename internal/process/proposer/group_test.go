package proposer

import (
	"context"
	"errors"
	"io"
	"net/netip"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"hyssoprudder/internal/process/clock"
)

var errAttempt = errors.New("no answer")

func failCall(context.Context, netip.AddrPort, string, any, any) error { return errAttempt }

func TestGroupErrorDependsOnItsAttempts(t *testing.T) {
	tests := map[string]struct {
		attempts int
		isNotRun func(error) bool
		want     error
	}{
		"no attempt":            {0, nil, ErrNotRun},
		"proven not handled":    {2, func(err error) bool { return errors.Is(err, errAttempt) }, ErrNotRun},
		"may have been handled": {1, func(error) bool { return false }, ErrUnknown},
		"IsNotRun not set":      {1, nil, ErrUnknown},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p, err := New(Config{
				Journal: "rules", Keepers: []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1001")},
				Clock: clock.System{}, Log: log.New(io.Discard), Call: failCall, IsNotRun: test.isNotRun,
			})
			require.NoError(t, err)
			ctx, cancel := withDefaultTimeout(context.Background())
			e := &pending{ctx: ctx, done: make(chan answer, 1)}
			g := &group{proposer: p, commands: []*pending{e}}
			for range test.attempts {
				require.False(t, g.attempt())
			}
			cancel()
			g.dropExpired()
			require.ErrorIs(t, (<-e.done).err, test.want)
		})
	}
}
