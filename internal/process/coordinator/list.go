package coordinator

import (
	"fmt"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// placeRest is how long a place stays empty before another endpoint gets it: longer
// than nodes report what they still run at the one before.
const placeRest = 10 * time.Second

// pageSize is the number of places that a node is sent at a time when it has none of
// them: some 50 KB, so that an answer comes in time also while all nodes ask at once,
// and the node serves from what it has.
const pageSize = 512

// list is the list of endpoints in its places, with what changed when, so that
// nodes are sent only what they lack.
type list struct {
	table   TableID
	places  []Endpoint // empty ones have no ID
	changed []uint64   // number of the reading that changed the place last
	byID    map[string]int
	empty   []emptied      // in the order in which they became so
	pages   map[int][]byte // encodings of pages by their first place, of this reading
}

type emptied struct {
	place int
	at    time.Time
}

func newList(term uint64) *list {
	return &list{table: TableID{Term: term}, byID: make(map[string]int), pages: make(map[int][]byte)}
}

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
		l.table.Number = next
		clear(l.pages)
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

// direct completes a directive for a node that has the first places of a reading.
func (l *list) direct(d *Directive, has TableID, held int) {
	d.Table, d.Places = l.table, len(l.places)
	d.Fresh = has.Term != l.table.Term || has.Number > l.table.Number || held > len(l.places)
	if d.Fresh {
		held = 0
	}
	d.Changes = l.since(has.Number, held)
	d.Held = min(held+pageSize, len(l.places))
	if held < d.Held {
		d.Page = l.page(held, d.Held)
	}
}

// since returns what changed after a reading at the first places.
func (l *list) since(number uint64, held int) []Change {
	if number == l.table.Number {
		return nil
	}
	var changes []Change
	for place, e := range l.places[:held] {
		if l.changed[place] > number {
			changes = append(changes, Change{Place: uint16(place), Endpoint: e})
		}
	}
	return changes
}

// page returns the encoding of some places. It is made once for all nodes, since all
// ask for it after a leader began.
func (l *list) page(from, to int) []byte {
	if page, ok := l.pages[from]; ok {
		return page
	}
	var changes []Change
	for place, e := range l.places[from:to] {
		if e.ID != "" {
			changes = append(changes, Change{Place: uint16(from + place), Endpoint: e})
		}
	}
	page, err := msgpack.Marshal(changes)
	if err != nil {
		panic("coordinator: encode list: " + err.Error())
	}
	l.pages[from] = page
	return page
}

// Apply returns the places of a node's list after a directive. The slice that is
// passed in is not changed.
func (d *Directive) Apply(places []Endpoint) ([]Endpoint, error) {
	out := make([]Endpoint, d.Places)
	if !d.Fresh {
		copy(out, places)
	}
	changes := d.Changes
	if len(d.Page) > 0 {
		var page []Change
		if err := msgpack.Unmarshal(d.Page, &page); err != nil {
			return nil, fmt.Errorf("decode the list of endpoints: %w", err)
		}
		changes = append(changes, page...)
	}
	for _, c := range changes {
		if int(c.Place) < len(out) {
			out[c.Place] = c.Endpoint
		}
	}
	return out, nil
}
