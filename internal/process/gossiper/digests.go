package gossiper

import (
	"cmp"
	"fmt"
	"slices"
)

// maxDigest limits the body of a digest, so that it fits into a datagram.
const maxDigest = 1000 // bytes

// Digest is a small body that a node publishes to its cell. This package does
// not interpret the body.
type Digest struct {
	node        string
	incarnation uint64
	record      digestRecord
}

// Node returns the identity of the publisher.
func (d Digest) Node() string { return d.node }

// Incarnation returns the incarnation of the publisher.
func (d Digest) Incarnation() uint64 { return d.incarnation }

// Version returns the publisher's version number.
func (d Digest) Version() uint64 { return d.record.Version }

// Body returns the content, which must not be changed.
func (d Digest) Body() []byte { return d.record.Body }

type digestKey struct {
	node string
	kind uint8
}

// digestTable holds the digests received from the cell, and this node's own
// digests with the number of sends still due.
type digestTable struct {
	peers map[digestKey]Digest
	own   map[uint8]digestRecord
	due   map[uint8]int // receivers that the current version has yet to be sent to
}

func newDigestTable() *digestTable {
	return &digestTable{
		peers: make(map[digestKey]Digest),
		own:   make(map[uint8]digestRecord),
		due:   make(map[uint8]int),
	}
}

// publish replaces this node's digest of a kind if the version is higher.
func (t *digestTable) publish(d digestRecord, receivers int) error {
	if len(d.Body) > maxDigest {
		return fmt.Errorf("digest of %d bytes exceeds the limit of %d bytes", len(d.Body), maxDigest)
	}
	if old, ok := t.own[d.Kind]; ok && d.Version <= old.Version {
		return nil
	}
	t.own[d.Kind] = d
	t.due[d.Kind] = receivers
	return nil
}

// apply stores a received digest unless the same or a later one is known.
func (t *digestTable) apply(node string, incarnation uint64, d digestRecord) {
	key := digestKey{node: node, kind: d.Kind}
	old, known := t.peers[key]
	if known && (incarnation < old.incarnation ||
		incarnation == old.incarnation && d.Version <= old.record.Version) {
		return
	}
	d.Body = append([]byte(nil), d.Body...)
	t.peers[key] = Digest{node: node, incarnation: incarnation, record: d}
}

// ofKind returns the digests of one kind, sorted by node.
func (t *digestTable) ofKind(kind uint8) []Digest {
	var out []Digest
	for key, d := range t.peers {
		if key.kind == kind {
			out = append(out, d)
		}
	}
	slices.SortFunc(out, func(a, b Digest) int { return cmp.Compare(a.node, b.node) })
	return out
}

// retainCell evicts the digests of members that are not live or in another
// cell.
func (t *digestTable) retainCell(members map[string]*memberEntry, cell string) {
	for key := range t.peers {
		e, ok := members[key.node]
		if !ok || !e.record.isLive() || e.record.Cell != cell {
			delete(t.peers, key)
		}
	}
}

// takeDue returns this node's digests that are still due, and records that they
// are sent to the given number of receivers.
func (t *digestTable) takeDue(receivers int) []item {
	var items []item
	for kind := range t.due {
		items = append(items, item{kind: itemDigest, body: encodeRecord(t.own[kind])})
		if t.due[kind] -= receivers; t.due[kind] <= 0 {
			delete(t.due, kind)
		}
	}
	slices.SortFunc(items, func(a, b item) int { return cmp.Compare(len(a.body), len(b.body)) })
	return items
}
