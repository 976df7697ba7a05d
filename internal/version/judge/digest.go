package judge

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"slices"

	"github.com/vmihailenco/msgpack/v5"
)

var errMalformedDigest = errors.New("malformed digest")

const maxDigestRoutes = 64

// Digest is what one entry sends to the others about the moves that it takes part in.
type Digest struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Entry       string
	Incarnation uint64
	Moves       []MoveDigest
}

// MoveDigest holds the cumulative counters of one move in one epoch.
type MoveDigest struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Service string
	Move    uint64
	Epoch   uint64
	Tripped *Fault
	Routes  []RouteDigest
}

// RouteDigest holds the counters of one route.
type RouteDigest struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Route string
	Seq   uint64 // number of events counted on the route in the epoch
	Old   CountsDigest
	New   CountsDigest
}

// CountsDigest holds the counters of one version. Histograms are encoded as pairs: the distance from the
// previous non-empty bucket, and the count of the bucket.
type CountsDigest struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Started  uint64
	Finished uint64
	Failed   uint64
	First    []uint64
	Next     []uint64
	Total    []uint64
}

// Encode returns the digest as msgpack.
func (d *Digest) Encode() ([]byte, error) {
	var buf bytes.Buffer
	enc := msgpack.NewEncoder(&buf)
	enc.UseCompactInts(true)
	if err := enc.Encode(d); err != nil {
		return nil, fmt.Errorf("encode digest: %w", err)
	}
	return buf.Bytes(), nil
}

// encodeWithin encodes as many routes of the digest, starting with the given one, as fit into limit bytes,
// and returns the number of routes encoded. It returns 0 if all of them fit. The remaining routes are
// sent in later digests.
func (d *Digest) encodeWithin(limit, first int) ([]byte, int, error) {
	if full, err := d.Encode(); err != nil || len(full) <= limit {
		return full, 0, err
	}
	partial := &Digest{Entry: d.Entry, Incarnation: d.Incarnation}
	type routeIndex struct{ move, route int }
	var indices []routeIndex
	for i, m := range d.Moves {
		for k := range m.Routes {
			indices = append(indices, routeIndex{move: i, route: k})
		}
		m.Routes = nil
		partial.Moves = append(partial.Moves, m)
	}
	encoded, err := partial.Encode()
	if err != nil {
		return nil, 0, err
	}
	for n := range indices {
		index := indices[(first+n)%len(indices)]
		m := &partial.Moves[index.move]
		m.Routes = append(m.Routes, d.Moves[index.move].Routes[index.route])
		longer, err := partial.encodeTruncated(m, limit, n == 0)
		if err != nil {
			return nil, 0, err
		}
		if len(longer) > limit {
			return encoded, n, nil
		}
		encoded = longer
	}
	return encoded, len(indices), nil
}

// encodeTruncated encodes the digest. If its last route is the only one and does not fit, histograms are
// omitted. Counters only grow, so the same histograms are omitted from then on.
func (d *Digest) encodeTruncated(m *MoveDigest, limit int, alone bool) ([]byte, error) {
	r := &m.Routes[len(m.Routes)-1]
	truncations := []func(){
		func() { r.Old.Next, r.New.Next = nil, nil },
		func() { r.Old.First, r.New.First = nil, nil },
		func() { r.Old.Total, r.New.Total = nil, nil },
	}
	encoded, err := d.Encode()
	for alone && err == nil && len(encoded) > limit && len(truncations) > 0 {
		truncations[0]()
		truncations = truncations[1:]
		encoded, err = d.Encode()
	}
	return encoded, err
}

// DecodeDigest reads a digest that Encode wrote.
func DecodeDigest(b []byte) (*Digest, error) {
	var d Digest
	if err := msgpack.Unmarshal(b, &d); err != nil {
		return nil, fmt.Errorf("decode digest: %w: %w", errMalformedDigest, err)
	}
	for _, m := range d.Moves {
		if len(m.Routes) > maxDigestRoutes {
			return nil, fmt.Errorf("decode digest: %w: %d routes", errMalformedDigest, len(m.Routes))
		}
	}
	return &d, nil
}

func newRouteDigests(t Table) []RouteDigest {
	routes := make([]RouteDigest, 0, len(t))
	for route, p := range t {
		routes = append(routes, RouteDigest{
			Route: route, Seq: p.events, Old: newCountsDigest(&p.old), New: newCountsDigest(&p.latest),
		})
	}
	slices.SortFunc(routes, func(a, b RouteDigest) int {
		return cmp.Compare(a.Route, b.Route)
	})
	return routes
}

func newCountsDigest(c *Counts) CountsDigest {
	return CountsDigest{
		Started:  c.started,
		Finished: c.finished,
		Failed:   c.failed,
		First:    c.first.sparse(),
		Next:     c.next.sparse(),
		Total:    c.total.sparse(),
	}
}

func decodeTable(routes []RouteDigest) (Table, error) {
	t := make(Table, len(routes))
	for _, r := range routes {
		old, err := decodeCounts(r.Old)
		if err != nil {
			return nil, err
		}
		latest, err := decodeCounts(r.New)
		if err != nil {
			return nil, err
		}
		t[r.Route] = &Pair{events: r.Seq, old: old, latest: latest}
	}
	return t, nil
}

func decodeCounts(d CountsDigest) (Counts, error) {
	first, err := decodeHistogram(d.First)
	if err != nil {
		return Counts{}, err
	}
	next, err := decodeHistogram(d.Next)
	if err != nil {
		return Counts{}, err
	}
	total, err := decodeHistogram(d.Total)
	if err != nil {
		return Counts{}, err
	}
	return Counts{
		started: d.Started, finished: d.Finished, failed: d.Failed,
		first: first, next: next, total: total,
	}, nil
}
