package keeper

import (
	"context"
	"fmt"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hyssoprudder/internal/process/applier"
	"hyssoprudder/internal/process/journaler"
)

// BenchmarkTimeWithoutLeader measures the time from the loss of the leader to the lease of its
// successor, with the default election timeout.
func BenchmarkTimeWithoutLeader(b *testing.B) {
	faults := map[string]func(d *deployment, k *Keeper) (end func()){
		"kill": func(d *deployment, k *Keeper) func() {
			d.kill(k.config.Name)
			return func() { d.start(k.config.Name) }
		},
		"freeze": func(_ *deployment, k *Keeper) func() {
			frozen, wake := make(chan struct{}), make(chan struct{})
			go freeze(k, frozen, wake)
			<-frozen
			return func() { close(wake) }
		},
		"hand-over": func(_ *deployment, k *Keeper) func() {
			k.transferLeadership(context.Background())
			return func() {}
		},
	}
	for name, fault := range faults {
		for _, size := range []int{3, 5} {
			b.Run(fmt.Sprintf("%s/keepers=%d", name, size), func(b *testing.B) {
				d := newDeployment(b, size)
				d.election, d.heartbeat = DefaultElectionTimeout, DefaultHeartbeatInterval
				d.startAll()
				d.requireVoters(size)
				var longest, longestWrite time.Duration
				for b.Loop() {
					old := d.leader()
					before := time.Now()
					end := fault(d, old)
					write := d.timeToCommitElsewhere(old, before)
					d.eventually("a successor with a lease", func() bool {
						_, ok := old.Lease()
						return !ok && d.hasLease(old)
					})
					longest, longestWrite = max(longest, time.Since(before)), max(longestWrite, write)
					end()
				}
				b.ReportMetric(float64(longest.Milliseconds()), "max-ms-to-lease")
				b.ReportMetric(float64(longestWrite.Milliseconds()), "max-ms-to-commit")
			})
		}
	}
}

func (d *deployment) hasLease(except *Keeper) bool {
	for _, k := range d.keepers {
		if _, ok := k.Lease(); ok && k != except {
			return true
		}
	}
	return false
}

// timeToCommitElsewhere waits until a keeper other than except has committed a command, and
// returns the time since start.
func (d *deployment) timeToCommitElsewhere(except *Keeper, start time.Time) time.Duration {
	d.eventually("a commit at another keeper", func() bool {
		for _, k := range d.keepers {
			if k == except || !k.isLeader() {
				continue
			}
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			_, err := k.Propose(ctx, applier.Command{FenceNext: &applier.FenceNext{}})
			cancel()
			if err == nil {
				return true
			}
		}
		return false
	})
	return time.Since(start)
}

// BenchmarkRestart measures how long a keeper takes to open its folder.
func BenchmarkRestart(b *testing.B) {
	for _, length := range []uint64{1000, 10000, 100000} {
		for name, claims := range map[string]bool{"rules": false, "claims": true} {
			b.Run(fmt.Sprintf("%s/entries=%d", name, length), func(b *testing.B) {
				folder := filepath.Join(b.TempDir(), "log")
				j, err := journaler.Open(folder, journaler.Options{})
				require.NoError(b, err)
				require.NoError(b, j.SaveState(journaler.State{Identity: "id", Cluster: "c", Term: 1}))
				var group []journaler.Entry
				for i := uint64(1); i <= length; i++ {
					c := rule(fmt.Sprint("change-", i), i-1)
					if claims {
						c = applier.Command{ClaimGrant: &applier.ClaimGrant{
							Customer: "masons", Key: fmt.Sprint("order-", i), BodyHash: "0123456789abcdef0123456789abcdef",
							Entry: "entry-1", Request: "3f1c2a52-0000-4000-8000-000000000000", Retention: time.Hour,
						}}
					}
					data, err := c.Encode()
					require.NoError(b, err)
					group = append(group, journaler.Entry{Index: i, Term: 1, Kind: journaler.KindCommand, Data: data})
					if len(group) == 100 {
						require.NoError(b, j.Append(group))
						group = nil
					}
				}
				require.NoError(b, j.Close())
				for b.Loop() {
					j, err := journaler.Open(folder, journaler.Options{})
					require.NoError(b, err)
					a := applier.New()
					for _, e := range j.LoadedEntries() {
						c, err := applier.Decode(e.Data)
						require.NoError(b, err)
						a.Apply(e.Index, e.Term, c)
					}
					require.Equal(b, length, a.Index())
					require.NoError(b, j.Close())
				}
			})
		}
	}
}
