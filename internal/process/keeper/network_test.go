package keeper

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"hyssoprudder/internal/process/applier"
	"hyssoprudder/internal/process/clock"
	"hyssoprudder/internal/process/journaler"
)

var errPartitioned = errors.New("link is partitioned")

// network carries calls between the keepers of one test.
type network struct {
	mu          sync.Mutex
	nodes       map[netip.AddrPort]*Keeper
	partitioned map[[2]netip.AddrPort]bool
	probeCount  int // number of ProbeArgs calls
	bandwidth   int // of each link, in bytes per second; 0 means unlimited
}

// isTooSlow reports whether the link can't carry a message before ctx ends.
func (n *network) isTooSlow(ctx context.Context, args any) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	batch, ok := args.(*Batch)
	deadline, hasDeadline := ctx.Deadline()
	if n.bandwidth == 0 || !ok || !hasDeadline {
		return false
	}
	data, err := msgpack.Marshal(batch)
	return err != nil || time.Until(deadline) < time.Duration(len(data))*time.Second/time.Duration(n.bandwidth)
}

func (n *network) target(from, to netip.AddrPort) (*Keeper, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	k := n.nodes[to]
	if k == nil || n.partitioned[[2]netip.AddrPort{from, to}] {
		return nil, errPartitioned
	}
	return k, nil
}

func (n *network) probes() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.probeCount
}

func (n *network) setPartitioned(a, b netip.AddrPort, partitioned bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned[[2]netip.AddrPort{a, b}] = partitioned
}

// copyEncoded copies a message through the codec, as a connection does.
func copyEncoded(from, to any) error {
	data, err := msgpack.Marshal(from)
	if err != nil {
		return err
	}
	return msgpack.Unmarshal(data, to)
}

func (n *network) call(from, to netip.AddrPort, args, reply any) error {
	if _, ok := args.(*ProbeArgs); ok {
		n.mu.Lock()
		n.probeCount++
		n.mu.Unlock()
	}
	k, err := n.target(from, to)
	if err != nil {
		return err
	}
	peer, client := &PeerService{keeper: k}, &ClientService{keeper: k}
	var answer any
	switch a := args.(type) {
	case *Batch:
		in, out := new(Batch), new(Receipt)
		err, answer = errors.Join(copyEncoded(a, in), peer.Deliver(in, out)), out
	case *ProbeArgs:
		out := new(ProbeReply)
		err, answer = peer.Probe(a, out), out
	case *JoinArgs:
		out := new(JoinReply)
		err, answer = client.Join(a, out), out
	default:
		return fmt.Errorf("unexpected arguments %T", args)
	}
	if err != nil {
		return err
	}
	if _, err := n.target(to, from); err != nil {
		return err
	}
	return copyEncoded(answer, reply)
}

// deployment runs the keepers of one log in one process.
type deployment struct {
	t             testing.TB
	net           *network
	folder        string
	names         []string
	peers         []Peer
	keepers       map[string]*Keeper
	snapshotEvery uint64
	options       map[string]journaler.Options

	election, heartbeat time.Duration
	clock               clock.Clock
	clocks              map[string]clock.Clock // by name; overrides clock
	retireAfter         time.Duration
}

func newDeployment(t testing.TB, size int) *deployment {
	d := &deployment{
		t: t, folder: t.TempDir(), keepers: make(map[string]*Keeper), snapshotEvery: 50, options: make(map[string]journaler.Options),
		election: 150 * time.Millisecond, heartbeat: 20 * time.Millisecond, clock: clock.System{},
		net: &network{nodes: make(map[netip.AddrPort]*Keeper), partitioned: make(map[[2]netip.AddrPort]bool)},
	}
	for i := range size {
		name := string(rune('a' + i))
		d.names = append(d.names, name)
		d.peers = append(d.peers, Peer{Name: name, Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(1000+i))})
	}
	return d
}

func (d *deployment) address(name string) netip.AddrPort {
	for _, p := range d.peers {
		if p.Name == name {
			return p.Address
		}
	}
	panic("no peer " + name)
}

func (d *deployment) start(name string) *Keeper {
	d.t.Helper()
	self := d.address(name)
	keeperClock := d.clocks[name]
	if keeperClock == nil {
		keeperClock = d.clock
	}
	k, err := New(Config{
		Journal: "rules", Name: name, Folder: filepath.Join(d.folder, name), Peers: d.peers, Clock: keeperClock,
		Log: log.New(io.Discard), Rand: rand.New(rand.NewPCG(1, uint64(self.Port()))), Applier: applier.New(),
		ElectionTimeout: d.election, HeartbeatInterval: d.heartbeat, SnapshotEvery: d.snapshotEvery, RetireAfter: d.retireAfter,
		Call: func(ctx context.Context, to netip.AddrPort, _ string, args, reply any) error {
			if d.net.isTooSlow(ctx, args) {
				return context.DeadlineExceeded
			}
			return d.net.call(self, to, args, reply)
		},
		Register: func(string, any) error { return nil },
		Options:  d.options[name],
	})
	require.NoError(d.t, err)
	require.NoError(d.t, k.Start())
	d.keepers[name] = k
	d.net.mu.Lock()
	d.net.nodes[self] = k
	d.net.mu.Unlock()
	return k
}

func (d *deployment) startAll() {
	for _, name := range d.names {
		d.start(name)
	}
	d.t.Cleanup(d.killAll)
}

func (d *deployment) killAll() {
	for name := range d.keepers {
		d.kill(name)
	}
}

// kill stops a keeper without transferring the leadership.
func (d *deployment) kill(name string) {
	k := d.keepers[name]
	if k == nil {
		return
	}
	d.net.mu.Lock()
	delete(d.net.nodes, k.self.Address)
	d.net.mu.Unlock()
	delete(d.keepers, name)
	_ = k.halt()
}

func (d *deployment) wipe(name string) {
	require.NoError(d.t, os.RemoveAll(filepath.Join(d.folder, name)))
}

func (d *deployment) isolate(name string, isolated bool) {
	for _, p := range d.peers {
		d.net.setPartitioned(d.address(name), p.Address, isolated)
		d.net.setPartitioned(p.Address, d.address(name), isolated)
	}
}

const testTimeout = 30 * time.Second

func (d *deployment) eventually(what string, f func() bool) {
	d.t.Helper()
	require.Eventually(d.t, f, testTimeout, 2*time.Millisecond, what)
}

// leader waits for a keeper that holds the lease.
func (d *deployment) leader() *Keeper {
	d.t.Helper()
	var found *Keeper
	d.eventually("a leader with a lease", func() bool {
		for _, k := range d.keepers {
			if _, ok := k.Lease(); ok {
				found = k
				return true
			}
		}
		return false
	})
	return found
}

// propose retries at all keepers until the command is executed.
func (d *deployment) propose(c applier.Command) applier.Result {
	d.t.Helper()
	var result applier.Result
	d.eventually("a committed command", func() bool {
		for _, k := range d.keepers {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			r, err := k.Propose(ctx, c)
			cancel()
			if err == nil {
				result = r
				return true
			}
		}
		return false
	})
	return result
}

func rule(id string, base uint64) applier.Command {
	return applier.Command{RuleApply: &applier.RuleApply{ChangeID: id, Base: base, Text: "text " + id, Author: "R."}}
}
