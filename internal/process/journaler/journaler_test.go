package journaler_test

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"hyssoprudder/internal/process/journaler"
)

func entry(index, term uint64) journaler.Entry {
	return journaler.Entry{Index: index, Term: term, Kind: journaler.KindCommand, Data: []byte(fmt.Sprint("entry ", index, " of ", term))}
}

func open(t require.TestingT, folder string, o journaler.Options) *journaler.Journal {
	j, err := journaler.Open(folder, o)
	require.NoError(t, err)
	return j
}

// newFilledFolder returns a folder with a state and ten entries in groups of two.
func newFilledFolder(t *testing.T, o journaler.Options) string {
	folder := filepath.Join(t.TempDir(), "log")
	j := open(t, folder, o)
	require.NoError(t, j.SaveState(journaler.State{Identity: "id", Cluster: "c", Term: 3, Vote: "other"}))
	for i := uint64(1); i <= 10; i += 2 {
		require.NoError(t, j.Append([]journaler.Entry{entry(i, 1), entry(i+1, 1)}))
	}
	require.NoError(t, j.Close())
	return folder
}

func segments(t *testing.T, folder string) []string {
	list, err := filepath.Glob(filepath.Join(folder, "*.log"))
	require.NoError(t, err)
	return list
}

func TestTornTailIsCutAtEveryByte(t *testing.T) {
	folder := newFilledFolder(t, journaler.Options{})
	path := segments(t, folder)[0]
	whole, err := os.ReadFile(path)
	require.NoError(t, err)
	last := len(whole) / 5 * 4 // all groups have nearly the same size
	for size := last + 8; size < len(whole); size++ {
		require.NoError(t, os.WriteFile(path, whole[:size], 0o600))
		j := open(t, folder, journaler.Options{})
		require.Len(t, j.LoadedEntries(), 8, "truncated at byte %d of %d", size, len(whole))
		require.NoError(t, j.Append([]journaler.Entry{entry(9, 2)}))
		require.NoError(t, j.Close())
		j = open(t, folder, journaler.Options{})
		require.Equal(t, uint64(2), j.LoadedEntries()[8].Term)
		require.NoError(t, j.Close())
	}
}

func TestDamageIsRefused(t *testing.T) {
	tests := map[string]func(t *testing.T, folder string){
		"a bit in an earlier record": func(t *testing.T, folder string) { flipBit(t, segments(t, folder)[0], 40) },
		"a length in an earlier record": func(t *testing.T, folder string) {
			flipBit(t, segments(t, folder)[0], 6)
		},
		"the state":            func(t *testing.T, folder string) { flipBit(t, filepath.Join(folder, "state"), 20) },
		"the state is missing": func(t *testing.T, folder string) { require.NoError(t, os.Remove(filepath.Join(folder, "state"))) },
		"the end of an older segment": func(t *testing.T, folder string) {
			require.NoError(t, os.Truncate(segments(t, folder)[0], 30))
		},
		"a missing segment": func(t *testing.T, folder string) { require.NoError(t, os.Remove(segments(t, folder)[1])) },
		"the first segment is missing": func(t *testing.T, folder string) {
			require.NoError(t, os.Remove(segments(t, folder)[0]))
		},
	}
	for name, damage := range tests {
		t.Run(name, func(t *testing.T) {
			folder := newFilledFolder(t, journaler.Options{SegmentSize: 100})
			require.Greater(t, len(segments(t, folder)), 2)
			damage(t, folder)
			_, err := journaler.Open(folder, journaler.Options{})
			var damaged *journaler.DamageError
			require.ErrorAs(t, err, &damaged)
			require.NotEmpty(t, damaged.File)
		})
	}
}

func TestDamageInsideTheLastSegmentIsRefused(t *testing.T) {
	folder := newFilledFolder(t, journaler.Options{})
	flipBit(t, segments(t, folder)[0], 40)
	_, err := journaler.Open(folder, journaler.Options{})
	var damaged *journaler.DamageError
	require.ErrorAs(t, err, &damaged)
	require.Zero(t, damaged.Offset)
}

func flipBit(t *testing.T, path string, at int) {
	data, err := os.ReadFile(path)
	require.NoError(t, err)
	data[at] ^= 0x10
	require.NoError(t, os.WriteFile(path, data, 0o600))
}

// faultyFile is a file whose operations fail as set in faults.
type faultyFile struct {
	journaler.File
	faults *faults
}

type faults struct {
	write, sync error
	partial     bool
}

func (f *faultyFile) Write(p []byte) (int, error) {
	if f.faults.write == nil {
		return f.File.Write(p)
	}
	if f.faults.partial {
		p = p[:len(p)/2]
	} else {
		p = nil
	}
	n, _ := f.File.Write(p)
	return n, f.faults.write
}

func (f *faultyFile) Sync() error {
	if f.faults.sync != nil {
		return f.faults.sync
	}
	return f.File.Sync()
}

// A keeper's process ended when its disk was full. What finds no space is taken back, so that it
// can be written later.
func TestWriteToAFullDiskIsRepeated(t *testing.T) {
	for name, partial := range map[string]bool{"nothing written": false, "partly written": true} {
		t.Run(name, func(t *testing.T) {
			folder := newFilledFolder(t, journaler.Options{})
			files, active, isFull := journaler.SystemFiles(), &faults{}, false
			appendTo, create, replace := files.Append, files.Create, files.Replace
			files.Append = func(path string, size int64) (journaler.File, error) {
				f, err := appendTo(path, size)
				return &faultyFile{File: f, faults: active}, err
			}
			files.Create = func(path string) (journaler.File, error) {
				if isFull {
					return nil, syscall.ENOSPC
				}
				return create(path)
			}
			files.Replace = func(path string, data []byte) error {
				if isFull {
					return syscall.ENOSPC
				}
				return replace(path, data)
			}
			j := open(t, folder, journaler.Options{Files: files})
			*active, isFull = faults{write: syscall.ENOSPC, partial: partial}, true
			for range 3 {
				require.ErrorIs(t, j.Append([]journaler.Entry{entry(11, 3)}), journaler.ErrFull)
				require.ErrorIs(t, j.SaveState(journaler.State{Identity: "id", Term: 9}), journaler.ErrFull)
				require.ErrorIs(t, j.WriteSnapshot(journaler.Snapshot{Index: 4}), journaler.ErrFull)
			}
			require.NoError(t, j.Err())
			*active, isFull = faults{}, false
			require.NoError(t, j.Append([]journaler.Entry{entry(11, 3), entry(12, 3)}))
			require.NoError(t, j.SaveState(journaler.State{Identity: "id", Term: 9}))
			require.NoError(t, j.Close())
			j = open(t, folder, journaler.Options{})
			entries := j.LoadedEntries()
			require.Equal(t, []journaler.Entry{entry(11, 3), entry(12, 3)}, entries[len(entries)-2:])
			require.EqualValues(t, 9, j.State().Term)
			require.NoError(t, j.Close())
		})
	}
}

func TestNothingIsAcknowledgedAfterAFailure(t *testing.T) {
	broken := errors.New("broken")
	tests := map[string]faults{
		"full disk":       {write: broken},
		"partial write":   {write: broken, partial: true},
		"failing sync":    {sync: broken},
		"state not saved": {},
	}
	for name, fault := range tests {
		t.Run(name, func(t *testing.T) {
			folder := newFilledFolder(t, journaler.Options{})
			files, active := journaler.SystemFiles(), &faults{}
			appendTo, replace := files.Append, files.Replace
			files.Append = func(path string, size int64) (journaler.File, error) {
				f, err := appendTo(path, size)
				return &faultyFile{File: f, faults: active}, err
			}
			files.Replace = func(path string, data []byte) error {
				if fault == (faults{}) {
					return broken
				}
				return replace(path, data)
			}
			j := open(t, folder, journaler.Options{Files: files})
			*active = fault
			if fault == (faults{}) {
				require.ErrorIs(t, j.SaveState(journaler.State{Identity: "id", Term: 9}), broken)
			} else {
				require.ErrorIs(t, j.Append([]journaler.Entry{entry(11, 3)}), broken)
			}
			*active = faults{}
			require.ErrorIs(t, j.Append([]journaler.Entry{entry(11, 3)}), journaler.ErrFailed, "the failure is final")
			require.ErrorIs(t, j.SaveState(journaler.State{}), journaler.ErrFailed)
			require.NoError(t, j.Close())
			j = open(t, folder, journaler.Options{})
			require.GreaterOrEqual(t, len(j.LoadedEntries()), 10)
			require.NoError(t, j.Close())
		})
	}
}

func TestFolderIsUsedByOneProcess(t *testing.T) {
	folder := newFilledFolder(t, journaler.Options{})
	j := open(t, folder, journaler.Options{})
	_, err := journaler.Open(folder, journaler.Options{})
	require.Error(t, err)
	require.NoError(t, j.Close())
}

// TestJournalAgreesWithPlainSlice compares a journal, reopened after each action, with a slice:
// appends that replace a suffix, snapshots, compaction and reset.
func TestJournalAgreesWithPlainSlice(t *testing.T) {
	base := t.TempDir()
	run := 0
	rapid.Check(t, func(t *rapid.T) {
		run++
		folder := filepath.Join(base, fmt.Sprint(run))
		o := journaler.Options{SegmentSize: 150}
		j := open(t, folder, o)
		state := journaler.State{Identity: "id", Term: 1}
		require.NoError(t, j.SaveState(state))
		var want []journaler.Entry
		first, snapTerm := uint64(1), uint64(0) // of the first entry in want, and of the newest snapshot
		for range 40 {
			last := first + uint64(len(want)) - 1
			switch rapid.IntRange(0, 6).Draw(t, "action") {
			case 0:
				if len(want) == 0 {
					continue
				}
				at := rapid.IntRange(0, len(want)-1).Draw(t, "snapshot")
				snapTerm = want[at].Term
				s := journaler.Snapshot{Index: want[at].Index, Term: snapTerm, Data: []byte("s")}
				require.NoError(t, j.WriteSnapshot(s))
				if rapid.Bool().Draw(t, "compact") {
					require.NoError(t, j.Compact(s.Index))
				}
				want, first = want[at+1:], s.Index+1
				require.NoError(t, j.Close())
				j = open(t, folder, o)
				require.Equal(t, s, j.LoadedSnapshot())
			case 1:
				s := journaler.Snapshot{Index: last + uint64(rapid.IntRange(1, 5).Draw(t, "ahead")), Term: state.Term}
				require.NoError(t, j.WriteSnapshot(s))
				if rapid.Bool().Draw(t, "crash before reset") {
					require.NoError(t, j.Close())
					j = open(t, folder, o)
				} else {
					require.NoError(t, j.Reset(s.Index))
				}
				want, first = nil, s.Index+1
			case 2:
				state.Term++
				require.NoError(t, j.SaveState(state))
			default:
				at := first + uint64(rapid.IntRange(0, len(want)).Draw(t, "at"))
				var group []journaler.Entry
				for i := range uint64(rapid.IntRange(1, 4).Draw(t, "group")) {
					group = append(group, entry(at+i, state.Term))
				}
				require.NoError(t, j.Append(group))
				want = append(want[:at-first:at-first], group...)
			}
			require.NoError(t, j.Close())
			j = open(t, folder, o)
			require.Equal(t, state, j.State())
			got := j.LoadedEntries()
			require.Len(t, got, len(want))
			for i := range want {
				require.Equal(t, want[i], got[i])
			}
		}
		require.NoError(t, j.Close())
	})
}

// volatileDisk simulates a disk that loses unsynced bytes and names in a crash.
type volatileDisk struct {
	synced        map[string]int64 // number of bytes of each file that survive
	unsyncedNames map[string]bool  // files whose names are not durable yet
}

type volatileFile struct {
	journaler.File
	path string
	size int64
	disk *volatileDisk
}

func (f *volatileFile) Write(p []byte) (int, error) {
	n, err := f.File.Write(p)
	f.size += int64(n)
	return n, err
}

func (f *volatileFile) Sync() error {
	f.disk.synced[f.path] = f.size
	return nil
}

func (v *volatileDisk) files() journaler.Files {
	files := journaler.SystemFiles()
	create, appendTo := files.Create, files.Append
	files.Create = func(path string) (journaler.File, error) {
		f, err := create(path)
		v.synced[path], v.unsyncedNames[path] = 0, true
		return &volatileFile{File: f, path: path, disk: v}, err
	}
	files.Append = func(path string, size int64) (journaler.File, error) {
		f, err := appendTo(path, size)
		v.synced[path] = size
		return &volatileFile{File: f, path: path, size: size, disk: v}, err
	}
	files.SyncFolder = func(string) error {
		v.unsyncedNames = make(map[string]bool)
		return nil
	}
	return files
}

func (v *volatileDisk) crash(t require.TestingT, torn int64) {
	for path, size := range v.synced {
		if v.unsyncedNames[path] {
			require.NoError(t, os.Remove(path))
			continue
		}
		info, err := os.Stat(path)
		require.NoError(t, err)
		require.NoError(t, os.Truncate(path, min(info.Size(), size+torn)))
	}
	v.synced, v.unsyncedNames = make(map[string]int64), make(map[string]bool)
}

func TestWhatAppendConfirmedSurvivesACrash(t *testing.T) {
	base := t.TempDir()
	run := 0
	rapid.Check(t, func(t *rapid.T) {
		run++
		folder := filepath.Join(base, fmt.Sprint(run))
		v := &volatileDisk{synced: make(map[string]int64), unsyncedNames: make(map[string]bool)}
		next := uint64(1)
		for range 12 {
			j := open(t, folder, journaler.Options{Files: v.files(), SegmentSize: 120})
			require.GreaterOrEqual(t, uint64(len(j.LoadedEntries()))+1, next, "an acknowledged entry is lost")
			require.NoError(t, j.SaveState(journaler.State{Identity: "id"}))
			for range rapid.IntRange(0, 4).Draw(t, "groups") {
				require.NoError(t, j.Append([]journaler.Entry{entry(next, 1)}))
				next++
			}
			require.NoError(t, j.Close())
			v.crash(t, int64(rapid.IntRange(0, 60).Draw(t, "torn")))
		}
	})
}
