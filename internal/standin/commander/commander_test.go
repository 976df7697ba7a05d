package commander_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"hyssoprudder/internal/process/clock"
	"hyssoprudder/internal/standin/commander"
)

func TestExitCodes(t *testing.T) {
	tests := map[string]struct {
		args []string
		want int
	}{
		"no command":      {nil, 2},
		"unknown command": {[]string{"engin"}, 2},
		"unknown flag":    {[]string{"engine", "-slot", "3"}, 2},
		"help":            {[]string{"engine", "-h"}, 0},
		"not an IP":       {[]string{"engine", "-listen", "localhost:0"}, 1},
		"no file":         {[]string{"platform", "-config", "none.toml"}, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, test.want, commander.New(io.Discard, io.Discard, clock.System{}).Run(context.Background(), test.args))
		})
	}
}

const load = `
rate = 200
duration = "100ms"
[[customer]]
name = "masons"
share = 1
[[call]]
name = "order"
kind = "plain"
path = "/orders"
share = 1
timeout = "1m"
once = true
`

func TestLoadAndAuditOfAService(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	read, write := io.Pipe()
	code := make(chan int, 1)
	go run(ctx, write, code)
	line, err := bufio.NewReader(read).ReadString('\n')
	require.NoError(t, err)
	address := strings.TrimSpace(line[strings.Index(line, "address=")+len("address="):])

	dir := t.TempDir()
	config, log := filepath.Join(dir, "load.toml"), filepath.Join(dir, "log")
	require.NoError(t, os.WriteFile(config, []byte(load), 0o600))
	var out bytes.Buffer
	c := commander.New(&out, io.Discard, clock.System{})
	require.Equal(t, 0, c.Run(ctx, []string{"load", "-config", config, "-entries", address, "-log", log, "-csv"}))
	require.Equal(t, 0, c.Run(ctx, []string{"audit", "-log", log, "-record", address}))
	require.Contains(t, out.String(), "part,sent,whole")
	require.Contains(t, out.String(), "doubled=0 lost=0 false=0 unclear_ran=0 unclear_not=0 stray=0")

	cancel()
	require.Equal(t, 0, <-code)
}

func run(ctx context.Context, out io.Writer, code chan<- int) {
	c := commander.New(out, io.Discard, clock.System{})
	code <- c.Run(ctx, []string{"service", "-id", "b1"})
}
