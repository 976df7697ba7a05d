// Package journaler stores the durable state of a replica in one folder: the log in segments;
// the term, vote and identity; and the newest snapshot.
//
// Nothing is reported as written before it is synced. After the first failed write or sync, a
// journal refuses every further change. A write that finds the disk full is taken back instead,
// and may be repeated.
package journaler

import (
	"errors"
	"fmt"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"

	"github.com/vmihailenco/msgpack/v5"
)

const (
	stateName     = "state"
	snapshotName  = "snapshot"
	lockName      = "lock"
	segmentSuffix = ".log"

	// DefaultSegmentSize is the size in bytes at which a new segment is started.
	DefaultSegmentSize = 16 << 20
)

// ErrFailed is wrapped by the errors of a journal that has failed or is closed.
var ErrFailed = errors.New("journal has failed")

// ErrFull is wrapped by the errors of changes that were not made because the disk is full. They
// may be repeated.
var ErrFull = errors.New("no space for the journal")

// isFull reports whether a file system refused a write for lack of space.
func isFull(err error) bool { return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) }

// asFull returns err, wrapped with ErrFull if the file system lacks space.
func asFull(err error) error {
	if isFull(err) {
		return fmt.Errorf("%w: %w", ErrFull, err)
	}
	return err
}

// Kind is the kind of an entry.
type Kind uint8

// The kinds of entries.
const (
	// KindNoOp is an entry without content, which a leader appends at the start of its term.
	KindNoOp Kind = iota
	// KindCommand is an entry for the replicated state.
	KindCommand
	// KindMembers is an entry that holds a new set of members.
	KindMembers
)

// Entry is one entry of the log.
type Entry struct {
	Index uint64 `msgpack:"i"`
	Term  uint64 `msgpack:"t"`
	Kind  Kind   `msgpack:"k,omitempty"`
	Data  []byte `msgpack:"d,omitempty"`
}

// State is the durable state that a replica needs to vote safely after a restart.
type State struct {
	// Identity is a random ID that the replica generates for an empty folder. It never changes.
	Identity string `msgpack:"identity"`
	// Cluster identifies the log that this folder belongs to; it is empty before the first
	// entry.
	Cluster string `msgpack:"cluster"`
	Term    uint64 `msgpack:"term"`
	// Vote is the identity that this replica voted for in Term.
	Vote string `msgpack:"vote"`
	// Leader is the identity to which this replica made promises in Term. Until a leader sends
	// a message, it is the identity that got the vote. It is empty if no promise was made.
	Leader string `msgpack:"leader,omitempty"`
}

// Snapshot is the replicated state after the entry Index.
type Snapshot struct {
	Index   uint64 `msgpack:"index"`
	Term    uint64 `msgpack:"term"`
	Members []byte `msgpack:"members"`
	Data    []byte `msgpack:"data"`
}

type segment struct {
	path        string
	firstRecord uint64 // number of its first record
	lastIndex   uint64 // highest index of an entry in it
}

// Options set up a journal. Zero values select the defaults.
type Options struct {
	Files       Files
	SegmentSize int64
}

// Journal is the open folder of one replica. It is not safe for concurrent use, except that
// WriteSnapshot and ReadSnapshot may run concurrently with the other methods.
type Journal struct {
	folder      string
	files       Files
	segmentSize int64
	lock        File
	state       State
	snapshot    Snapshot
	entries     []Entry // read by Open, until LoadedEntries returns them
	last        uint64
	segments    []segment
	current     File
	currentSize int64
	nextRecord  uint64 // number of the next record
	isTorn      bool   // something may follow the last complete record of the current segment
	isUnnamed   bool   // the folder is not synced since the current segment was created
	buf         []byte
	failed      error
}

// Open reads the folder, creating it if it does not exist, and truncates a record at the end of
// the log that a crash left incomplete. Other damage gives a *DamageError.
func Open(folder string, o Options) (*Journal, error) {
	if o.Files.Create == nil {
		o.Files = SystemFiles()
	}
	if o.SegmentSize == 0 {
		o.SegmentSize = DefaultSegmentSize
	}
	j := &Journal{folder: folder, files: o.Files, segmentSize: o.SegmentSize, nextRecord: 1}
	names, err := j.files.List(folder)
	if err != nil {
		return nil, fmt.Errorf("list journal folder: %w", err)
	}
	if j.lock, err = j.files.Lock(folder); err != nil {
		return nil, err
	}
	if err := j.load(names); err != nil {
		return nil, errors.Join(err, j.Close())
	}
	return j, nil
}

// State returns the durable state; its Identity is empty in a new folder.
func (j *Journal) State() State { return j.state }

// LoadedSnapshot returns the snapshot that Open read, with its data only at the first call. Its
// Index is 0 if there is none.
func (j *Journal) LoadedSnapshot() Snapshot {
	out := j.snapshot
	j.snapshot.Data, j.snapshot.Members = nil, nil
	return out
}

// ReadSnapshot reads the newest snapshot from disk. Like WriteSnapshot, it may run concurrently
// with the other methods.
func (j *Journal) ReadSnapshot() (Snapshot, error) {
	var s Snapshot
	err := j.loadFile(snapshotName, &s)
	return s, err
}

// LoadedEntries returns the entries after the snapshot that Open read, only at the first call.
func (j *Journal) LoadedEntries() []Entry {
	out := j.entries
	j.entries = nil
	return out
}

// Err returns the failure that stopped the journal, or nil.
func (j *Journal) Err() error { return j.failed }

// Segments returns the number of segments.
func (j *Journal) Segments() int { return len(j.segments) }

func (j *Journal) fail(err error) error {
	if j.failed == nil {
		j.failed = fmt.Errorf("%w: %w", ErrFailed, err)
	}
	return j.failed
}

// SaveState makes s durable.
func (j *Journal) SaveState(s State) error {
	if j.failed != nil {
		return j.failed
	}
	data, err := encodeWithChecksum(s)
	if err != nil {
		return j.fail(err)
	}
	err = j.files.Replace(filepath.Join(j.folder, stateName), data)
	switch {
	case isFull(err):
		return fmt.Errorf("write state: %w: %w", ErrFull, err)
	case err != nil:
		return j.fail(fmt.Errorf("write state: %w", err))
	}
	j.state = s
	return nil
}

// Append makes a group of consecutive entries durable with one sync. An entry whose index is
// already in the log replaces that entry and all after it.
func (j *Journal) Append(entries []Entry) error {
	if j.failed != nil {
		return j.failed
	}
	if len(entries) == 0 {
		return nil
	}
	if first := entries[0].Index; first > j.last+1 || first <= j.snapshot.Index {
		panic(fmt.Sprintf("journaler: entry %d after %d, snapshot %d", first, j.last, j.snapshot.Index))
	}
	err := j.write(entries)
	switch {
	case errors.Is(err, ErrFull):
		return err
	case err != nil:
		return j.fail(err)
	}
	j.last = entries[len(entries)-1].Index
	return nil
}

func (j *Journal) write(entries []Entry) error {
	payload, err := msgpack.Marshal(entries)
	if err != nil {
		return err
	}
	if err := j.prepareSegment(); err != nil {
		return err
	}
	j.buf = appendRecord(j.buf[:0], j.nextRecord, payload)
	if err := j.writeRecord(); isFull(err) {
		return j.truncate(err)
	} else if err != nil {
		return fmt.Errorf("append: %w", err)
	}
	j.currentSize += int64(len(j.buf))
	j.nextRecord++
	seg := &j.segments[len(j.segments)-1]
	seg.lastIndex = max(seg.lastIndex, entries[len(entries)-1].Index)
	return nil
}

// prepareSegment makes the current segment ready for the next record. It continues what an
// earlier call found no space for.
func (j *Journal) prepareSegment() error {
	if j.isTorn {
		if err := j.reopen(); err != nil {
			return err
		}
	}
	if j.current == nil || j.currentSize >= j.segmentSize {
		if err := j.rotate(); err != nil {
			return fmt.Errorf("start segment: %w", err)
		}
	}
	if j.isUnnamed {
		if err := asFull(j.files.SyncFolder(j.folder)); err != nil {
			return fmt.Errorf("start segment: %w", err)
		}
		j.isUnnamed = false
	}
	return nil
}

func (j *Journal) writeRecord() error {
	if _, err := j.current.Write(j.buf); err != nil {
		return err
	}
	// A disk may also run full at a sync, since it allocates space late.
	return j.current.Sync()
}

// truncate removes the part of a record for which there was no space.
func (j *Journal) truncate(cause error) error {
	j.isTorn = true
	if err := j.reopen(); err != nil && !errors.Is(err, ErrFull) {
		return fmt.Errorf("append: %w", errors.Join(cause, err))
	}
	return fmt.Errorf("append: %w: %w", ErrFull, cause)
}

// reopen opens the current segment without what follows its last complete record.
func (j *Journal) reopen() error {
	if j.current != nil {
		err := j.current.Close()
		j.current = nil
		if err != nil && !isFull(err) {
			return fmt.Errorf("close segment: %w", err)
		}
	}
	f, err := j.files.Append(j.segments[len(j.segments)-1].path, j.currentSize)
	if err != nil {
		return fmt.Errorf("reopen segment: %w", asFull(err))
	}
	j.current, j.isTorn = f, false
	return nil
}

func (j *Journal) rotate() error {
	if j.current != nil {
		if err := j.current.Close(); err != nil && !isFull(err) {
			return err
		}
		j.current = nil
	}
	path := filepath.Join(j.folder, fmt.Sprintf("%016x%s", j.nextRecord, segmentSuffix))
	f, err := j.files.Create(path)
	if err != nil {
		return asFull(err)
	}
	j.current, j.currentSize = f, 0
	j.segments = append(j.segments, segment{path: path, firstRecord: j.nextRecord})
	j.isUnnamed = true
	return nil
}

// WriteSnapshot makes a snapshot durable. It changes only the snapshot file; the log stays as
// it is until Compact or Reset is called.
func (j *Journal) WriteSnapshot(s Snapshot) error {
	data, err := encodeWithChecksum(s)
	if err != nil {
		return err
	}
	err = j.files.Replace(filepath.Join(j.folder, snapshotName), data)
	switch {
	case isFull(err):
		return fmt.Errorf("write snapshot: %w: %w", ErrFull, err)
	case err != nil:
		return fmt.Errorf("write snapshot: %w", err)
	}
	return nil
}

// Compact removes the segments that hold no entry after index. A snapshot at index or later
// must have been written before.
func (j *Journal) Compact(index uint64) error {
	if j.failed != nil {
		return j.failed
	}
	j.snapshot.Index = max(j.snapshot.Index, index)
	for len(j.segments) > 1 && j.segments[0].lastIndex <= index {
		err := j.files.Remove(j.segments[0].path)
		if isFull(err) {
			return fmt.Errorf("remove segment: %w", asFull(err))
		} else if err != nil {
			return j.fail(fmt.Errorf("remove segment: %w", err))
		}
		j.segments = slices.Clone(j.segments[1:])
	}
	return nil
}

// Reset drops the whole log in favour of a snapshot at index that was received from the leader.
// The snapshot must have been written before.
func (j *Journal) Reset(index uint64) error {
	if j.failed != nil {
		return j.failed
	}
	j.snapshot.Index, j.last = index, index
	err := j.dropSegments()
	if err == nil || errors.Is(err, ErrFull) {
		return err
	}
	return j.fail(err)
}

func (j *Journal) dropSegments() error {
	if j.current != nil {
		if err := j.current.Close(); err != nil && !isFull(err) {
			return err
		}
		j.current = nil
	}
	for len(j.segments) > 0 {
		last := len(j.segments) - 1
		if err := j.files.Remove(j.segments[last].path); err != nil {
			return asFull(err)
		}
		j.segments = j.segments[:last]
	}
	j.isTorn, j.isUnnamed = false, false
	return asFull(j.files.SyncFolder(j.folder))
}

// Close closes the files and unlocks the folder.
func (j *Journal) Close() error {
	if j.failed == nil {
		j.failed = fmt.Errorf("%w: closed", ErrFailed)
	}
	var errs []error
	if j.current != nil {
		errs = append(errs, j.current.Close())
		j.current = nil
	}
	if j.lock != nil {
		errs = append(errs, j.lock.Close())
		j.lock = nil
	}
	return errors.Join(errs...)
}

func segmentNumber(name string) (uint64, bool) {
	hex, ok := strings.CutSuffix(name, segmentSuffix)
	if !ok {
		return 0, false
	}
	n, err := strconv.ParseUint(hex, 16, 64)
	return n, err == nil
}
