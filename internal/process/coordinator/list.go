package coordinator

import (
	"fmt"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// positionReuseDelay is how long a position stays empty before another endpoint gets it:
// longer than nodes report calls at the endpoint that was there before.
const positionReuseDelay = 10 * time.Second

// pageSize is the number of positions that are sent at a time to a node that has none of them.
// A page is about 50 KB, so that it arrives in time even while all nodes request the list at
// once; meanwhile the node serves from the pages it has.
const pageSize = 512

// list is the list of endpoints by position, with the update in which each position changed,
// so that nodes are sent only what they lack.
type list struct {
	version    ListID
	byPosition []Endpoint // by position; empty ones have no ID
	changedIn  []uint64   // number of the update in which the position last changed
	byID       map[string]int
	freed      []freedPosition // in the order in which they became empty
	pages      map[int][]byte  // encoded pages of this update, by their first position
}

type freedPosition struct {
	position int
	at       time.Time
}

func newList(term uint64) *list {
	return &list{version: ListID{Term: term}, byID: make(map[string]int), pages: make(map[int][]byte)}
}

// isLoaded reports whether the list has been read.
func (l *list) isLoaded() bool { return l.version.Number > 0 }

// update replaces the endpoints and reports whether the list changed.
func (l *list) update(endpoints []Endpoint, now time.Time) bool {
	next := l.version.Number + 1
	changed := !l.isLoaded()
	seen := make(map[string]bool, len(endpoints))
	for _, e := range endpoints {
		if seen[e.ID] {
			continue
		}
		seen[e.ID] = true
		position, known := l.byID[e.ID]
		if known && l.byPosition[position] == e {
			continue
		}
		if !known {
			position = l.allocate(now)
			l.byID[e.ID] = position
		}
		l.byPosition[position], l.changedIn[position] = e, next
		changed = true
	}
	for id, position := range l.byID {
		if seen[id] {
			continue
		}
		delete(l.byID, id)
		l.byPosition[position], l.changedIn[position] = Endpoint{}, next
		l.freed = append(l.freed, freedPosition{position, now})
		changed = true
	}
	if changed {
		l.version.Number = next
		clear(l.pages)
	}
	return changed
}

func (l *list) allocate(now time.Time) int {
	if len(l.freed) > 0 && now.Sub(l.freed[0].at) >= positionReuseDelay {
		position := l.freed[0].position
		l.freed = l.freed[1:]
		return position
	}
	l.byPosition, l.changedIn = append(l.byPosition, Endpoint{}), append(l.changedIn, 0)
	return len(l.byPosition) - 1
}

// fillDirective completes the directive for a node that knows the given version of the list and
// has received its first positions.
func (l *list) fillDirective(d *Directive, known ListID, received int) {
	d.ListID, d.Length = l.version, len(l.byPosition)
	d.Reset = known.Term != l.version.Term || known.Number > l.version.Number || received > len(l.byPosition)
	if d.Reset {
		received = 0
	}
	d.Changes = l.changesSince(known.Number, received)
	d.Received = min(received+pageSize, len(l.byPosition))
	if received < d.Received {
		d.Page = l.page(received, d.Received)
	}
}

// changesSince returns the changes since an update at the first received positions.
func (l *list) changesSince(number uint64, received int) []Change {
	if number == l.version.Number {
		return nil
	}
	var changes []Change
	for position, e := range l.byPosition[:received] {
		if l.changedIn[position] > number {
			changes = append(changes, Change{Position: uint16(position), Endpoint: e})
		}
	}
	return changes
}

// page returns an encoded range of positions. It is encoded once for all nodes, since all of
// them request it after a change of the leader.
func (l *list) page(from, to int) []byte {
	if page, ok := l.pages[from]; ok {
		return page
	}
	var changes []Change
	for offset, e := range l.byPosition[from:to] {
		if e.ID != "" {
			changes = append(changes, Change{Position: uint16(from + offset), Endpoint: e})
		}
	}
	page, err := msgpack.Marshal(changes)
	if err != nil {
		panic("coordinator: encode list: " + err.Error())
	}
	l.pages[from] = page
	return page
}

// HasList reports whether the directive leads to the newest list, which may be empty. A leader that
// has not read the list yet states no number of an update.
func (d *Directive) HasList() bool { return d.ListID.Number > 0 }

// Apply returns a node's list after the directive. The slice passed in is not modified.
func (d *Directive) Apply(list []Endpoint) ([]Endpoint, error) {
	out := make([]Endpoint, d.Length)
	if !d.Reset {
		copy(out, list)
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
		if int(c.Position) < len(out) {
			out[c.Position] = c.Endpoint
		}
	}
	return out, nil
}
