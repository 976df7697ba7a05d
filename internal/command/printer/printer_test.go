package printer_test

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"hyssoprudder/internal/command/printer"
)

func ExamplePrinter_Table() {
	p := printer.New(os.Stdout, true, false)
	_ = p.Table(nil, []string{"id", "state"}, [][]string{{"focsani-1", "alive"}, {"adjud-1", "left"}})
	// Output:
	// ID         STATE
	// focsani-1  alive
	// adjud-1    left
}

func TestPipedTableKeepsItsFieldsApart(t *testing.T) {
	r, w, err := os.Pipe()
	require.NoError(t, err)
	defer r.Close()
	require.NoError(t, printer.New(w, false, false).Table(nil, []string{"a", "b"}, [][]string{{"x\ty", "z\n"}}))
	require.NoError(t, w.Close())
	buffer := make([]byte, 64)
	n, err := r.Read(buffer)
	require.NoError(t, err)
	require.Equal(t, "x y\tz \n", string(buffer[:n]))
}
