package coordinator

import "time"

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
		l.table.Number = next
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

// changes returns what leads from the list that a node has to the newest one;
// isFresh says that it begins with an empty list.
func (l *list) changes(has TableID) (changes []Change, isFresh bool) {
	since := has.Number
	if has.Term != l.table.Term || since > l.table.Number {
		since, isFresh = 0, true
	}
	if since == l.table.Number {
		return nil, isFresh
	}
	for place, e := range l.places {
		if l.changed[place] > since && (e.ID != "" || !isFresh) {
			changes = append(changes, Change{Place: uint16(place), Endpoint: e})
		}
	}
	return changes, isFresh
}

// Apply returns the places of a node's list after a directive. The slice that is
// passed in is not changed.
func (d *Directive) Apply(places []Endpoint) []Endpoint {
	out := make([]Endpoint, d.Places)
	if !d.Fresh {
		copy(out, places)
	}
	for _, c := range d.Changes {
		if int(c.Place) < len(out) {
			out[c.Place] = c.Endpoint
		}
	}
	return out
}
