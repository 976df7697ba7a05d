package journaler_test

import (
	"fmt"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"hyssoprudder/internal/process/journaler"
)

// crowdedDisk is a disk on which any change may find no space, as drawn.
type crowdedDisk struct {
	t      *rapid.T
	isFull bool
}

func (d *crowdedDisk) refuses() error {
	if d.isFull && rapid.IntRange(0, 3).Draw(d.t, "no space") == 0 {
		return fmt.Errorf("disk: %w", syscall.ENOSPC)
	}
	return nil
}

type crowdedFile struct {
	journaler.File
	disk *crowdedDisk
}

func (f *crowdedFile) Write(p []byte) (int, error) {
	if err := f.disk.refuses(); err != nil {
		n, _ := f.File.Write(p[:rapid.IntRange(0, len(p)-1).Draw(f.disk.t, "written")])
		return n, err
	}
	return f.File.Write(p)
}

func (f *crowdedFile) Sync() error {
	if err := f.disk.refuses(); err != nil {
		return err
	}
	return f.File.Sync()
}

func (d *crowdedDisk) files() journaler.Files {
	system := journaler.SystemFiles()
	files := system
	files.Create = func(path string) (journaler.File, error) {
		if err := d.refuses(); err != nil {
			return nil, err
		}
		f, err := system.Create(path)
		return &crowdedFile{File: f, disk: d}, err
	}
	files.Append = func(path string, size int64) (journaler.File, error) {
		if err := d.refuses(); err != nil {
			return nil, err
		}
		f, err := system.Append(path, size)
		return &crowdedFile{File: f, disk: d}, err
	}
	files.Replace = func(path string, data []byte) error {
		if err := d.refuses(); err != nil {
			return err
		}
		return system.Replace(path, data)
	}
	files.Remove = func(path string) error {
		if err := d.refuses(); err != nil {
			return err
		}
		return system.Remove(path)
	}
	files.SyncFolder = func(folder string) error {
		if err := d.refuses(); err != nil {
			return err
		}
		return system.SyncFolder(folder)
	}
	return files
}

// A disk that ran full at a sync, at the end of a segment or while space was freed stopped the journal for good, also
// long after it had space again.
func TestJournalOutlastsAFullDisk(t *testing.T) {
	base := t.TempDir()
	run := 0
	rapid.Check(t, func(t *rapid.T) {
		run++
		folder := filepath.Join(base, fmt.Sprint(run))
		disk := &crowdedDisk{t: t}
		j := open(t, folder, journaler.Options{SegmentSize: 150, Files: disk.files()})
		state := journaler.State{Identity: "id", Term: 1}
		require.NoError(t, j.SaveState(state))
		until := func(write func() error) {
			disk.isFull = true
			for tries := 0; ; tries++ {
				err := write()
				require.NoError(t, j.Err())
				if err == nil {
					break
				}
				require.ErrorIs(t, err, journaler.ErrFull)
				disk.isFull = tries < 20
			}
			disk.isFull = false
		}
		var want []journaler.Entry
		first := uint64(1)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			last := first + uint64(len(want)) - 1
			switch rapid.IntRange(0, 5).Draw(t, "action") {
			case 0:
				if len(want) == 0 {
					continue
				}
				s := journaler.Snapshot{Index: want[len(want)/2].Index, Term: want[len(want)/2].Term, Data: []byte("s")}
				until(func() error { return j.WriteSnapshot(s) })
				until(func() error { return j.Compact(s.Index) })
				want, first = want[len(want)/2+1:], s.Index+1
			case 1:
				s := journaler.Snapshot{Index: last + 2, Term: state.Term}
				until(func() error { return j.WriteSnapshot(s) })
				until(func() error { return j.Reset(s.Index) })
				want, first = nil, s.Index+1
			case 2:
				state.Term++
				until(func() error { return j.SaveState(state) })
			default:
				at := first + uint64(rapid.IntRange(0, len(want)).Draw(t, "at"))
				var group []journaler.Entry
				for i := range uint64(rapid.IntRange(1, 4).Draw(t, "group")) {
					group = append(group, entry(at+i, state.Term))
				}
				until(func() error { return j.Append(group) })
				want = append(want[:at-first:at-first], group...)
			}
			if rapid.IntRange(0, 4).Draw(t, "reopen") == 0 {
				require.NoError(t, j.Close())
				j = open(t, folder, journaler.Options{SegmentSize: 150, Files: disk.files()})
				require.Equal(t, state, j.State())
				require.Equal(t, len(want), len(j.LoadedEntries()))
			}
		}
		require.NoError(t, j.Close())
		j = open(t, folder, journaler.Options{})
		got := j.LoadedEntries()
		require.Len(t, got, len(want))
		for i := range want {
			require.Equal(t, want[i], got[i])
		}
		require.NoError(t, j.Close())
	})
}
