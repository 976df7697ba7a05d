package gossiper

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"hyssoprudder/internal/connection/messenger"
	"hyssoprudder/internal/process/clock"
)

// process is a gossiper with its own messenger on the loopback interface.
type process struct {
	messenger *messenger.Messenger
	gossiper  *Gossiper
	registry  *prometheus.Registry
	marks     chan Mark
	revisions chan Revision
}

func startProcess(t testing.TB, id string, seeds []netip.AddrPort, change func(*Settings)) *process {
	t.Helper()
	p := &process{
		registry: prometheus.NewRegistry(),
		marks:    make(chan Mark, 4096), revisions: make(chan Revision, 4096),
	}
	quiet := log.New(io.Discard)
	m, err := messenger.New(messenger.Config{
		ID: id, Incarnation: 1, Listen: netip.MustParseAddrPort("127.0.0.1:0"),
		Key: []byte("0123456789abcdef"), Clock: clock.System{}, Log: quiet, Registerer: p.registry,
	})
	require.NoError(t, err)
	settings := Settings{ID: id, Incarnation: 1, Domain: "focsani", Cell: "vrancea", Roles: Entry, Seeds: seeds}
	if change != nil {
		change(&settings)
	}
	g, err := New(Config{
		Settings: settings, Send: m.Send, Clock: clock.System{}, Log: quiet, Registerer: p.registry,
		OnMark:     func(m Mark) { p.marks <- m },
		OnRevision: func(r Revision) { p.revisions <- r },
	})
	require.NoError(t, err)
	m.HandleDatagrams(g.Receive)
	require.NoError(t, m.Start())
	g.Start(m.Address())
	p.messenger, p.gossiper = m, g
	t.Cleanup(func() {
		g.Stop()
		require.NoError(t, m.Stop(context.Background()))
	})
	return p
}

func TestProcessesGossipOnLoopback(t *testing.T) {
	var all []*process
	var seeds []netip.AddrPort
	for i := range 4 {
		p := startProcess(t, fmt.Sprint("node", i), seeds, nil)
		seeds = append(seeds, p.messenger.Address())
		all = append(all, p)
	}
	eventually := func(holds func() bool) {
		t.Helper()
		require.Eventually(t, holds, time.Minute, 5*time.Millisecond)
	}
	for _, p := range all {
		eventually(func() bool { return len(p.gossiper.Members()) == 4 })
	}
	all[1].gossiper.MarkLeaving("engine-7", 2)
	all[2].gossiper.Announce(Revision{Number: 9, Term: 1, Hash: 5})
	all[2].gossiper.SetActiveRevision(9)
	require.NoError(t, all[3].gossiper.Publish(1, 1, []byte("load")))
	for _, p := range all {
		mark := <-p.marks
		require.Equal(t, "engine-7", mark.Endpoint())
		require.True(t, p.gossiper.IsLeaving("engine-7", 2))
		require.Equal(t, Revision{Number: 9, Term: 1, Hash: 5}, <-p.revisions)
		eventually(func() bool {
			m, ok := p.gossiper.Member("node2")
			return ok && m.ActiveRevision() == 9
		})
	}
	eventually(func() bool { return len(all[0].gossiper.Digests(1)) == 1 })
	eventually(func() bool { return all[0].gossiper.Contact(10 * time.Second).HasMajority() })

	all[3].gossiper.Depart(context.Background())
	eventually(func() bool {
		m, _ := all[0].gossiper.Member("node3")
		return m.State() == Left
	})
	families, err := all[0].registry.Gather()
	require.NoError(t, err)
	require.NotEmpty(t, families)
}
