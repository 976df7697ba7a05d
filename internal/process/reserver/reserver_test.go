package reserver_test

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"hyssoprudder/internal/process/reserver"
)

// Reservations together never hold more than the limit, and give back all that they hold.
func TestReservationsStayWithinTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := reserver.New(1000, 100)
		all := make([]reserver.Reservation, 5)
		for i := range all {
			all[i] = m.Reserve()
		}
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			r := &all[rapid.IntRange(0, len(all)-1).Draw(t, "reservation")]
			if rapid.Bool().Draw(t, "release") {
				r.Release()
				continue
			}
			before := m.Used()
			if !r.Hold(rapid.IntRange(0, 1500).Draw(t, "size")) {
				require.Equal(t, before, m.Used())
			}
			require.LessOrEqual(t, m.Used(), int64(1000))
		}
		for i := range all {
			all[i].Release()
		}
		require.Zero(t, m.Used())
	})
}

func TestReadAll(t *testing.T) {
	broken := errors.New("broken")
	cases := map[string]struct {
		from    io.Reader
		limit   int
		want    int
		isWhole bool
		err     error
	}{
		"empty":           {strings.NewReader(""), 10, 0, true, nil},
		"short":           {strings.NewReader("abc"), 10, 3, true, nil},
		"byte by byte":    {iotest.OneByteReader(strings.NewReader(strings.Repeat("a", 5000))), 6000, 5000, true, nil},
		"at the limit":    {strings.NewReader(strings.Repeat("a", 10)), 10, 10, false, nil},
		"above it":        {strings.NewReader(strings.Repeat("a", 11)), 10, 10, false, nil},
		"beyond memory":   {bytes.NewReader(make([]byte, 1<<20)), 1 << 20, 64 << 10, false, nil},
		"breaks off":      {io.MultiReader(strings.NewReader("abc"), iotest.ErrReader(broken)), 10, 3, false, broken},
		"data with error": {iotest.DataErrReader(strings.NewReader("abc")), 10, 3, true, nil},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			m := reserver.New(60<<10, 4<<10)
			r := m.Reserve()
			got, isWhole, err := r.ReadAll(tc.from, tc.limit)
			require.ErrorIs(t, err, tc.err)
			require.Len(t, got, tc.want)
			require.Equal(t, tc.isWhole, isWhole)
		})
	}
}

func ExampleMemory() {
	m := reserver.New(1<<20, 0)
	r := m.Reserve()
	fmt.Println(r.Hold(1<<20), r.Hold(2<<20), m.Used())
	r.Release()
	fmt.Println(m.Used())
	// Output:
	// true false 1048576
	// 0
}
