package keeper

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hyssoprudder/internal/process/journaler"
)

// brokenDisk makes all syncs fail once broken is set, and all writes while it is full. While it is
// crowded, syncs and changes of names find no space either.
type brokenDisk struct {
	broken  atomic.Bool
	full    atomic.Bool
	crowded atomic.Bool
}

type brokenFile struct {
	journaler.File
	disk *brokenDisk
}

var errDisk = errors.New("input/output error")

func (f *brokenFile) Sync() error {
	if f.disk.broken.Load() {
		return errDisk
	}
	if f.disk.crowded.Load() {
		return syscall.ENOSPC
	}
	return f.File.Sync()
}

// Write writes half of what finds no space.
func (f *brokenFile) Write(p []byte) (int, error) {
	if f.disk.full.Load() {
		n, _ := f.File.Write(p[:len(p)/2])
		return n, syscall.ENOSPC
	}
	return f.File.Write(p)
}

func (b *brokenDisk) files() journaler.Files {
	files := journaler.SystemFiles()
	create, appendTo, replace := files.Create, files.Append, files.Replace
	files.Create = func(path string) (journaler.File, error) {
		if b.crowded.Load() {
			return nil, syscall.ENOSPC
		}
		f, err := create(path)
		return &brokenFile{File: f, disk: b}, err
	}
	files.Append = func(path string, size int64) (journaler.File, error) {
		if b.crowded.Load() {
			return nil, syscall.ENOSPC
		}
		f, err := appendTo(path, size)
		return &brokenFile{File: f, disk: b}, err
	}
	files.Replace = func(path string, data []byte) error {
		if b.full.Load() || b.crowded.Load() {
			return syscall.ENOSPC
		}
		return replace(path, data)
	}
	for _, change := range []*func(string) error{&files.Remove, &files.SyncFolder} {
		system := *change
		*change = func(path string) error {
			if b.crowded.Load() {
				return syscall.ENOSPC
			}
			return system(path)
		}
	}
	return files
}

// newDeploymentOnDisks starts three keepers on disks that can be made to fail, and commits
// three changes.
func newDeploymentOnDisks(t *testing.T) (*deployment, map[string]*brokenDisk) {
	t.Helper()
	d := newDeployment(t, 3)
	disks := make(map[string]*brokenDisk)
	for _, name := range d.names {
		disks[name] = &brokenDisk{}
		d.options[name] = journaler.Options{Files: disks[name].files()}
	}
	d.startAll()
	d.applyRules(0, 3)
	return d, disks
}

// The leader's disk is full: the others go on, it acknowledges nothing, and its vote counts again
// when there is space.
func TestKeeperWithAFullDiskWaitsForSpace(t *testing.T) {
	d, disks := newDeploymentOnDisks(t)
	old := d.leader()
	disks[old.config.Name].full.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	short, stop := context.WithTimeout(ctx, 50*time.Millisecond)
	_, err := old.Propose(short, rule("change-3", 3))
	stop()
	require.Error(t, err)
	d.eventually("another leader", func() bool {
		for _, k := range d.keepers {
			if _, ok := k.Lease(); ok && k != old {
				return true
			}
		}
		return false
	})
	_, ok := old.Lease()
	require.False(t, ok)
	require.NoError(t, old.Err())
	disks[old.config.Name].full.Store(false)
	d.eventually("the keeper takes part", func() bool { return old.Status().Leader != old.config.Name && old.Status().Role == RoleFollower })
	// Its vote counts again.
	leader := d.leader()
	for _, name := range d.names {
		if name != leader.config.Name && name != old.config.Name {
			disks[name].full.Store(true)
		}
	}
	base := d.leader().Status().Revision
	d.applyRules(base, base+3)
}

// Disks were full for a moment, one after the other. After two of three, no change was acknowledged any more, although all
// had space again and all processes ran.
func TestChangesAreAcknowledgedAfterDisksWereFullInTurn(t *testing.T) {
	d, disks := newDeploymentOnDisks(t)
	for name := range disks {
		options := d.options[name]
		options.SegmentSize = 256
		d.kill(name)
		d.options[name] = options
		d.start(name)
	}
	d.snapshotEvery = 10
	random := rand.New(rand.NewPCG(1, 1))
	base := uint64(3)
	for range 4 {
		for _, name := range d.names {
			disk := disks[name]
			d.requireVoters(3)
			disk.full.Store(random.IntN(2) == 0)
			disk.crowded.Store(!disk.full.Load() || random.IntN(2) == 0)
			d.applyRules(base, base+6) // by the two others
			base += 6
			disk.full.Store(false)
			disk.crowded.Store(false)
		}
	}
	d.requireVoters(3)
	d.requireRevision(base)
	for _, k := range d.keepers {
		require.NoError(t, k.Err())
	}
}

func TestKeeperWithFailingDiskAcknowledgesNothing(t *testing.T) {
	d, disks := newDeploymentOnDisks(t)
	old := d.leader()
	disks[old.config.Name].broken.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	_, err := old.Propose(ctx, rule("change-3", 3))
	require.ErrorIs(t, err, ErrUnknown, "it may be committed by the others")
	require.ErrorIs(t, old.Err(), journaler.ErrFailed)
	d.applyRules(3, 6)
	for name := range disks {
		if name != old.config.Name {
			disks[name].broken.Store(true)
			break
		}
	}
	d.eventually("a second failure", func() bool {
		failed := 0
		for _, k := range d.keepers {
			short, stop := context.WithTimeout(ctx, 10*time.Millisecond)
			_, err := k.Propose(short, rule("after", 6))
			stop()
			require.Error(t, err, "acknowledged by one of three disks")
			if k.Err() != nil {
				failed++
			}
		}
		return failed == 2
	})
}
