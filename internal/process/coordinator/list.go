package coordinator

import (
	"fmt"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// placeRest is how long a place stays empty before another endpoint gets it: longer
// than nodes report what they still run at the one before.
const placeRest = 10 * time.Second

// list is the list of endpoints in its places, with what changed when, so that
// nodes are sent only what they lack.
type list struct {
	table   TableID
	places  []Endpoint // empty ones have no ID
	changed []uint64   // number of the reading that changed the place last
	byID    map[string]int
	empty   []emptied // in the order in which they became so
	whole   []byte    // encoding of all that is listed, nil if it changed since
}

type emptied struct {
	place int
	at    time.Time
}

func newList(term uint64) *list { return &list{table: TableID{Term: term}, byID: make(map[string]int)} }

// isRead reports whether the list was read once.
func (l *list) isRead() bool { return l.table.Number > 0 }

// read takes over a reading and reports whether it differs from the last one.
func (l *list) read(endpoints []Endpoint, now time.Time) bool {
	next := l.table.Number + 1
	differs := !l.isRead()
	seen := make(map[string]bool, len(endpoints))
	for _, e := range endpoints {
		if seen[e.ID] {
			continue
		}
		seen[e.ID] = true
		place, known := l.byID[e.ID]
		if known && l.places[place] == e {
			continue
		}
		if !known {
			place = l.freePlace(now)
			l.byID[e.ID] = place
		}
		l.places[place], l.changed[place] = e, next
		differs = true
	}
	for id, place := range l.byID {
		if seen[id] {
			continue
		}
		delete(l.byID, id)
		l.places[place], l.changed[place] = Endpoint{}, next
		l.empty = append(l.empty, emptied{place, now})
		differs = true
	}
	if differs {
		l.table.Number, l.whole = next, nil
	}
	return differs
}

func (l *list) freePlace(now time.Time) int {
	if len(l.empty) > 0 && now.Sub(l.empty[0].at) >= placeRest {
		place := l.empty[0].place
		l.empty = l.empty[1:]
		return place
	}
	l.places, l.changed = append(l.places, Endpoint{}), append(l.changed, 0)
	return len(l.places) - 1
}

// direct completes a directive for a node that has an older list, or none. The whole
// list is encoded once for all nodes, since all ask for it after a leader began.
func (l *list) direct(d *Directive, has TableID) {
	d.Table, d.Places = l.table, len(l.places)
	if has.Term == l.table.Term && has.Number <= l.table.Number {
		d.Changes = l.since(has.Number)
		return
	}
	d.Fresh = true
	if l.whole == nil {
		whole, err := msgpack.Marshal(l.since(0))
		if err != nil {
			panic("coordinator: encode list: " + err.Error())
		}
		l.whole = whole
	}
	d.Whole = l.whole
}

// since returns what changed after a reading; after none, empty places are left out.
func (l *list) since(number uint64) []Change {
	if number == l.table.Number {
		return nil
	}
	var changes []Change
	for place, e := range l.places {
		if l.changed[place] > number && (e.ID != "" || number > 0) {
			changes = append(changes, Change{Place: uint16(place), Endpoint: e})
		}
	}
	return changes
}

// Apply returns the places of a node's list after a directive. The slice that is
// passed in is not changed.
func (d *Directive) Apply(places []Endpoint) ([]Endpoint, error) {
	out := make([]Endpoint, d.Places)
	changes := d.Changes
	if d.Fresh {
		if err := msgpack.Unmarshal(d.Whole, &changes); err != nil {
			return nil, fmt.Errorf("decode the list of endpoints: %w", err)
		}
	} else {
		copy(out, places)
	}
	for _, c := range changes {
		if int(c.Place) < len(out) {
			out[c.Place] = c.Endpoint
		}
	}
	return out, nil
}
