package keeper

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hyssoprudder/internal/process/applier"
	"hyssoprudder/internal/process/clock"
)

var (
	chaosRounds = flag.Int("chaos.rounds", 12, "number of faults that TestAcknowledgedClaimsSurviveFaults injects")
	chaosSeed   = flag.Uint64("chaos.seed", 1, "seed of the faults")
)

// claimant claims one key after the other at every keeper that leads, and records the grants it
// received.
type claimant struct {
	d       *deployment
	id      int
	mu      *sync.Mutex // guards the keepers of d
	quit    chan struct{}
	wg      *sync.WaitGroup
	granted map[string]string // request by key
}

func (c *claimant) run() {
	defer c.wg.Done()
	for i := 0; ; i++ {
		select {
		case <-c.quit:
			return
		default:
		}
		g := &applier.ClaimGrant{
			Customer: "masons", Key: fmt.Sprint("order-", i), BodyHash: "h", Entry: "e", Request: fmt.Sprint("r-", c.id, "-", i),
			Deadline: time.Now().UnixNano(), Retention: time.Hour,
		}
		for _, k := range c.leaders() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			r, err := k.Propose(ctx, applier.Command{ClaimGrant: g})
			cancel()
			if err == nil && r.Claim.Outcome == applier.ClaimGranted {
				c.granted[g.Key] = g.Request
			}
		}
		clock.Sleep(clock.System{}, time.Millisecond, c.quit)
	}
}

func (c *claimant) leaders() []*Keeper {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []*Keeper
	for _, k := range c.d.keepers {
		if k.isLeader() {
			list = append(list, k)
		}
	}
	return list
}

// leases records the end of the newest lease of each running keeper.
type leases struct {
	t     *testing.T
	until map[string]time.Time
}

func (l *leases) check(keepers map[string]*Keeper) {
	for name, k := range keepers {
		lease, ok := k.Lease()
		if !ok {
			continue
		}
		now := time.Now()
		for other, until := range l.until {
			require.False(l.t, other != name && until.After(now) && lease.Until().After(now), "%s and %s hold the lease", name, other)
		}
		if lease.Until().After(l.until[name]) {
			l.until[name] = lease.Until()
		}
	}
}

// TestAcknowledgedClaimsSurviveFaults kills, wipes, partitions and freezes keepers under load.
// Set -chaos.rounds and -chaos.seed for longer runs.
func TestAcknowledgedClaimsSurviveFaults(t *testing.T) {
	d := newDeployment(t, 3)
	d.snapshotEvery = 200
	d.startAll()
	random := rand.New(rand.NewPCG(*chaosSeed, 0))
	var mu sync.Mutex
	var wg sync.WaitGroup
	quit := make(chan struct{})
	var claimants []*claimant
	for i := range 4 {
		c := &claimant{d: d, id: i, mu: &mu, quit: quit, wg: &wg, granted: make(map[string]string)}
		claimants = append(claimants, c)
		wg.Add(1)
		go c.run()
	}
	l := &leases{t: t, until: make(map[string]time.Time)}
	for range *chaosRounds {
		d.requireVoters(3)
		d.injectFault(random, &mu, l)
	}
	close(quit)
	wg.Wait()
	d.requireVoters(3)
	requireGrants(t, d.leader(), claimants)
}

// injectFault injects one fault, checks leases for a while, and ends the fault.
func (d *deployment) injectFault(random *rand.Rand, mu *sync.Mutex, l *leases) {
	name := d.names[random.IntN(len(d.names))]
	fault, pause := random.IntN(4), time.Duration(random.IntN(400))*time.Millisecond
	k := d.keepers[name]
	wake := make(chan struct{})
	switch fault {
	case 0, 1:
		mu.Lock()
		d.kill(name)
		mu.Unlock()
		delete(l.until, name)
		if fault == 1 {
			d.wipe(name)
		}
	case 2:
		d.isolate(name, true)
	default:
		frozen := make(chan struct{})
		go freeze(k, frozen, wake)
		<-frozen
	}
	for end := time.Now().Add(pause); time.Now().Before(end); {
		l.check(d.keepers)
		clock.Sleep(clock.System{}, time.Millisecond, nil)
	}
	switch fault {
	case 0, 1:
		mu.Lock()
		d.start(name)
		mu.Unlock()
	case 2:
		d.isolate(name, false)
	}
	close(wake)
}

// requireGrants requires that the leader holds all grants that callers received, each key
// granted once.
func requireGrants(t *testing.T, leader *Keeper, claimants []*claimant) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	require.NoError(t, leader.Read(ctx))
	owners, total := make(map[string]string), 0
	for _, c := range claimants {
		for key, request := range c.granted {
			require.Empty(t, owners[key], "key %s was granted twice", key)
			owners[key] = request
			claim, ok := leader.applier.Claim("masons", key)
			require.True(t, ok, "the claim of %s is lost", key)
			require.Equal(t, request, claim.Request)
			total++
		}
	}
	require.Greater(t, total, 50)
	t.Logf("%d claims granted", total)
}
