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
			j.segments = append(j.segments, segment{path: filepath.Join(j.folder, name), first: n})
		}
	}
	if slices.Contains(names, stateName) {
		if err := j.loadFile(stateName, &j.state); err != nil {
			return err
		}
	} else if len(j.segments) > 0 || slices.Contains(names, snapshotName) {
		return &DamageError{File: filepath.Join(j.folder, stateName), Reason: "missing beside a log"}
	}
	if slices.Contains(names, snapshotName) {
		if err := j.loadFile(snapshotName, &j.snapshot); err != nil {
			return err
		}
	}
	r := reader{snapshot: j.snapshot}
	if err := j.loadSegments(&r); err != nil {
		return err
	}
	return j.adopt(&r)
}

func (j *Journal) loadFile(name string, value any) error {
	path := filepath.Join(j.folder, name)
	data, err := j.files.Read(path)
	if err != nil {
		return fmt.Errorf("read %s: %w", name, err)
	}
	return unseal(path, data, value)
}

func (j *Journal) loadSegments(r *reader) error {
	for i := range j.segments {
		seg := &j.segments[i]
		if i > 0 && seg.first != j.next {
			return &DamageError{File: seg.path, Reason: fmt.Sprintf("begins with record %d, expected %d", seg.first, j.next)}
		}
		j.next = seg.first
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
			if !isLast || hasRecordAfter(data[size:], j.next) {
				return &DamageError{File: seg.path, Offset: size, Reason: "checksum does not match"}
			}
		}
		if isLast {
			if j.current, err = j.files.Append(seg.path, size); err != nil {
				return fmt.Errorf("open segment: %w", err)
			}
			j.size = size
		}
	}
	return nil
}

// readSegment reads records up to the first invalid one and returns its offset.
func (j *Journal) readSegment(r *reader, seg *segment, data []byte) (int64, error) {
	offset := int64(0)
	for {
		number, payload, ok := parseRecord(data[offset:])
		if !ok {
			return offset, nil
		}
		if number != j.next {
			return 0, &DamageError{File: seg.path, Offset: offset, Reason: fmt.Sprintf("record %d, expected %d", number, j.next)}
		}
		var entries []Entry
		if err := msgpack.Unmarshal(payload, &entries); err != nil {
			return 0, &DamageError{File: seg.path, Offset: offset, Reason: err.Error()}
		}
		for _, e := range entries {
			if reason := r.add(e); reason != "" {
				return 0, &DamageError{File: seg.path, Offset: offset, Reason: reason}
			}
			seg.newest = max(seg.newest, e.Index)
		}
		offset += int64(headerSize + len(payload))
		j.next++
	}
}

// adopt takes over what was read. A log that does not reach the snapshot, or
// disagrees with it, was about to be dropped when the process died.
func (j *Journal) adopt(r *reader) error {
	j.entries = r.entries
	j.last = j.snapshot.Index + uint64(len(r.entries))
	if len(j.segments) == 0 || r.joins() {
		return nil
	}
	j.entries, j.last = nil, j.snapshot.Index
	return j.dropSegments()
}

// reader puts entries together as they are read; a repeated index replaces what
// followed it.
type reader struct {
	snapshot Snapshot
	entries  []Entry // those behind the snapshot
	last     uint64  // index of the last entry read, 0 if none
	atTerm   uint64  // term of the entry at the index of the snapshot
	any      bool
}

func (r *reader) add(e Entry) string {
	if r.any && e.Index > r.last+1 {
		return fmt.Sprintf("entry %d after %d", e.Index, r.last)
	}
	if !r.any && e.Index > r.snapshot.Index+1 {
		return fmt.Sprintf("first entry %d, snapshot at %d", e.Index, r.snapshot.Index)
	}
	r.any = true
	r.last = e.Index
	if e.Index <= r.snapshot.Index {
		r.atTerm = 0
		if e.Index == r.snapshot.Index {
			r.atTerm = e.Term
		}
		r.entries = r.entries[:0]
		return ""
	}
	r.entries = append(r.entries[:e.Index-r.snapshot.Index-1], e)
	return ""
}

// joins reports whether the log goes on from the snapshot.
func (r *reader) joins() bool {
	if !r.any || r.snapshot.Index == 0 {
		return true
	}
	if r.last < r.snapshot.Index {
		return false
	}
	// Without the entry at the snapshot's index the log was compacted up to it.
	return r.atTerm == 0 || r.atTerm == r.snapshot.Term
}
