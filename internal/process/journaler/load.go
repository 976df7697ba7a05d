package journaler

import (
	"fmt"
	"path/filepath"
	"slices"

	"github.com/vmihailenco/msgpack/v5"
)

// load reads the state, the snapshot and all segments.
func (j *Journal) load(names []string) error {
	for _, name := range names {
		if n, ok := segmentNumber(name); ok {
			j.segments = append(j.segments, segment{path: filepath.Join(j.folder, name), firstRecord: n})
		}
	}
	if slices.Contains(names, stateName) {
		if err := j.loadFile(stateName, &j.state); err != nil {
			return err
		}
	} else if len(j.segments) > 0 || slices.Contains(names, snapshotName) {
		return &DamageError{File: filepath.Join(j.folder, stateName), Reason: "missing, but a log or snapshot exists"}
	}
	if slices.Contains(names, snapshotName) {
		if err := j.loadFile(snapshotName, &j.snapshot); err != nil {
			return err
		}
	}
	r := logReader{snapshot: j.snapshot}
	if err := j.loadSegments(&r); err != nil {
		return err
	}
	return j.useLoaded(&r)
}

func (j *Journal) loadFile(name string, value any) error {
	path := filepath.Join(j.folder, name)
	data, err := j.files.Read(path)
	if err != nil {
		return fmt.Errorf("read %s: %w", name, err)
	}
	return decodeWithChecksum(path, data, value)
}

func (j *Journal) loadSegments(r *logReader) error {
	for i := range j.segments {
		seg := &j.segments[i]
		if i > 0 && seg.firstRecord != j.nextRecord {
			return &DamageError{File: seg.path, Reason: fmt.Sprintf("begins with record %d, expected %d", seg.firstRecord, j.nextRecord)}
		}
		j.nextRecord = seg.firstRecord
		data, err := j.files.Read(seg.path)
		if err != nil {
			return fmt.Errorf("read segment: %w", err)
		}
		size, err := j.readSegment(r, seg, data)
		if err != nil {
			return err
		}
		isLast := i == len(j.segments)-1
		if size < int64(len(data)) {
			if !isLast || hasRecordAfter(data[size:], j.nextRecord) {
				return &DamageError{File: seg.path, Offset: size, Reason: "checksum does not match"}
			}
		}
		if isLast {
			if j.current, err = j.files.Append(seg.path, size); err != nil {
				return fmt.Errorf("open segment: %w", err)
			}
			j.currentSize = size
		}
	}
	return nil
}

// readSegment reads records up to the first invalid one and returns its offset.
func (j *Journal) readSegment(r *logReader, seg *segment, data []byte) (int64, error) {
	offset := int64(0)
	for {
		number, payload, ok := parseRecord(data[offset:])
		if !ok {
			return offset, nil
		}
		if number != j.nextRecord {
			return 0, &DamageError{File: seg.path, Offset: offset, Reason: fmt.Sprintf("record %d, expected %d", number, j.nextRecord)}
		}
		var entries []Entry
		if err := msgpack.Unmarshal(payload, &entries); err != nil {
			return 0, &DamageError{File: seg.path, Offset: offset, Reason: err.Error()}
		}
		for _, e := range entries {
			if reason := r.add(e); reason != "" {
				return 0, &DamageError{File: seg.path, Offset: offset, Reason: reason}
			}
			seg.lastIndex = max(seg.lastIndex, e.Index)
		}
		offset += int64(headerSize + len(payload))
		j.nextRecord++
	}
}

// useLoaded sets the entries of the journal to the loaded ones. It drops a log that ends before
// the snapshot or conflicts with it: the process died between WriteSnapshot and Reset.
func (j *Journal) useLoaded(r *logReader) error {
	j.entries = r.entries
	j.last = j.snapshot.Index + uint64(len(r.entries))
	if len(j.segments) == 0 || r.continuesSnapshot() {
		return nil
	}
	j.entries, j.last = nil, j.snapshot.Index
	return j.dropSegments()
}

// logReader collects entries as they are read. A repeated index replaces that entry and all
// after it.
type logReader struct {
	snapshot       Snapshot
	entries        []Entry // after the snapshot
	last           uint64  // index of the last entry read, 0 if none
	termAtSnapshot uint64  // term of the entry at the index of the snapshot, 0 if not read
	hasEntries     bool
}

// add adds an entry. It returns a reason if the entry leaves a gap, else "".
func (r *logReader) add(e Entry) string {
	if r.hasEntries && e.Index > r.last+1 {
		return fmt.Sprintf("entry %d after %d", e.Index, r.last)
	}
	if !r.hasEntries && e.Index > r.snapshot.Index+1 {
		return fmt.Sprintf("first entry %d, snapshot at %d", e.Index, r.snapshot.Index)
	}
	r.hasEntries = true
	r.last = e.Index
	if e.Index <= r.snapshot.Index {
		r.termAtSnapshot = 0
		if e.Index == r.snapshot.Index {
			r.termAtSnapshot = e.Term
		}
		r.entries = r.entries[:0]
		return ""
	}
	r.entries = append(r.entries[:e.Index-r.snapshot.Index-1], e)
	return ""
}

// continuesSnapshot reports whether the log continues from the snapshot.
func (r *logReader) continuesSnapshot() bool {
	if !r.hasEntries || r.snapshot.Index == 0 {
		return true
	}
	if r.last < r.snapshot.Index {
		return false
	}
	// If the entry at the snapshot's index is missing, the log was compacted up to it.
	return r.termAtSnapshot == 0 || r.termAtSnapshot == r.snapshot.Term
}
