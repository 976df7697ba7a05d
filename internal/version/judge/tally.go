package judge

import (
	"fmt"
	"maps"
	"slices"
)

const maxIncarnations = 8

// Tally merges the digests of all entries for one move in one epoch. Counters are cumulative for each
// incarnation of an entry, so digests may be lost, repeated or reordered. A Tally is not safe for
// concurrent use.
type Tally struct {
	move    uint64
	epoch   uint64
	entries map[string]map[uint64]Table
	tripped map[string]Fault
}

// NewTally returns an empty tally for a move in an epoch.
func NewTally(move, epoch uint64) *Tally {
	return &Tally{
		move:    move,
		epoch:   epoch,
		entries: make(map[string]map[uint64]Table),
		tripped: make(map[string]Fault),
	}
}

// Epoch returns the current epoch.
func (t *Tally) Epoch() uint64 { return t.epoch }

// Reset clears the counters for another epoch of the same move. Faults that entries have reported are kept.
func (t *Tally) Reset(epoch uint64) {
	t.epoch = epoch
	clear(t.entries)
}

// Merge adds the digest of an entry. Counters of other epochs and moves are skipped. A reported fault counts
// for the whole move.
func (t *Tally) Merge(d *Digest) error {
	for _, m := range d.Moves {
		if m.Move != t.move {
			continue
		}
		if m.Tripped != nil {
			t.tripped[d.Entry] = *m.Tripped
		}
		if m.Epoch != t.epoch {
			continue
		}
		table, err := decodeTable(m.Routes)
		if err != nil {
			return fmt.Errorf("merge digest of entry %s: %w", d.Entry, err)
		}
		t.store(d.Entry, d.Incarnation, table)
	}
	return nil
}

// Table returns the sums over all entries.
func (t *Tally) Table() Table {
	sum := make(Table)
	for _, incarnations := range t.entries {
		for _, r := range incarnations {
			for route, p := range r {
				sum.pair(route).merge(p)
			}
		}
	}
	return sum
}

// Tripped returns the strongest fault that a guard of an entry has reported, if any.
func (t *Tally) Tripped() (Fault, bool) {
	var found Fault
	for _, f := range t.tripped {
		if f.Value > found.Value {
			found = f
		}
	}
	return found, len(t.tripped) > 0
}

func (t *Tally) store(entry string, incarnation uint64, table Table) {
	incarnations := t.entries[entry]
	if incarnations == nil {
		incarnations = make(map[uint64]Table)
		t.entries[entry] = incarnations
	}
	stored := incarnations[incarnation]
	if stored == nil {
		stored = make(Table)
		incarnations[incarnation] = stored
	}
	for route, p := range table {
		if stored.pair(route).events < p.events {
			stored[route] = p
		}
	}
	if len(incarnations) > maxIncarnations {
		delete(incarnations, slices.Min(slices.Collect(maps.Keys(incarnations))))
	}
}
