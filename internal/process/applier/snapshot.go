package applier

import (
	"container/heap"
	"fmt"
	"sort"

	"github.com/vmihailenco/msgpack/v5"
)

// Image is the complete state at one index. It is immutable, so it can be encoded while further commands are
// executed.
type Image struct {
	Index     uint64     `msgpack:"index"`
	Now       int64      `msgpack:"now"`
	Revisions []Revision `msgpack:"revisions"`
	Changes   []change   `msgpack:"changes"`
	Moves     []Move     `msgpack:"moves"`
	Fence     Fence      `msgpack:"fence"`
	Intents   []Intent   `msgpack:"intents"`
	Claims    []*Claim   `msgpack:"claims"`
	Ruleset   Ruleset    `msgpack:"ruleset"`
	// Evacuations is missing in the snapshots of former releases.
	Evacuations []Evacuation `msgpack:"evacuations,omitempty"`
}

// Encode returns the image as msgpack. Equal states have equal encodings.
func (i *Image) Encode() ([]byte, error) {
	sort.Slice(i.Claims, func(a, b int) bool {
		x, y := i.Claims[a], i.Claims[b]
		if x.Customer != y.Customer {
			return x.Customer < y.Customer
		}
		return x.Key < y.Key
	})
	return msgpack.Marshal(i)
}

// Capture returns an image of the current state.
func (a *Applier) Capture() *Image {
	a.mu.RLock()
	defer a.mu.RUnlock()
	image := &Image{
		Index:       a.index,
		Now:         a.now,
		Revisions:   append([]Revision(nil), a.revisions...),
		Changes:     append([]change(nil), a.changes...),
		Moves:       a.sortedMoves(),
		Fence:       a.fence,
		Intents:     a.sortedIntents(),
		Claims:      make([]*Claim, 0, len(a.claims.records)),
		Ruleset:     a.ruleset,
		Evacuations: a.sortedEvacuations(),
	}
	for _, c := range a.claims.records {
		image.Claims = append(image.Claims, c)
	}
	return image
}

// Restore replaces the state with that of an encoded image.
func (a *Applier) Restore(data []byte) error {
	var image Image
	if err := msgpack.Unmarshal(data, &image); err != nil {
		return fmt.Errorf("decode snapshot: %w", err)
	}
	a.mu.Lock()
	previous := a.current().Number
	a.load(&image)
	current := a.current()
	a.mu.Unlock()
	if a.onRevision != nil && current.Number > previous {
		a.onRevision(current)
	}
	return nil
}

func (a *Applier) load(image *Image) {
	a.index, a.now, a.fence = image.Index, image.Now, image.Fence
	a.revisions, a.changes, a.ruleset = image.Revisions, image.Changes, image.Ruleset
	a.resultByChange = make(map[string]RuleResult, len(a.changes))
	for _, c := range a.changes {
		a.resultByChange[c.ID] = c.Result
	}
	a.moves = make(map[string]Move, len(image.Moves))
	for _, m := range image.Moves {
		a.moves[m.Service] = m
	}
	a.intents = make(map[string]Intent, len(image.Intents))
	for _, in := range image.Intents {
		a.intents[in.ID] = in
	}
	a.evacuations = make(map[string]Evacuation, len(image.Evacuations))
	for _, e := range image.Evacuations {
		a.evacuations[e.Domain] = e
	}
	a.claims = newTable()
	for _, c := range image.Claims {
		key := claimKey{c.Customer, c.Key}
		a.claims.records[key] = c
		a.claims.bytes += c.size()
		a.claims.expiries = append(a.claims.expiries, expiry{expiresAt: c.Expires, key: key})
	}
	heap.Init(&a.claims.expiries)
}
