package judge

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"slices"

	"github.com/vmihailenco/msgpack/v5"
)

var errBadDigest = errors.New("malformed digest")

const maxDigestRoutes = 64

// Digest is what one entry tells the others about the moves that it sees.
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
	Seq   uint64 // number of events that were counted on the route in the epoch
	Old   CountsDigest
	New   CountsDigest
}

// CountsDigest holds the counters of one version; histograms are pairs of a
// step to the next filled bucket and its count.
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

// within returns the encoded part of the digest that fits into limit bytes,
// beginning with the given route, and the number of routes in it. What does not
// fit has its turn in a later digest.
func (d *Digest) within(limit, first int) ([]byte, int, error) {
	if whole, err := d.Encode(); err != nil || len(whole) <= limit {
		return whole, 0, err
	}
	part := &Digest{Entry: d.Entry, Incarnation: d.Incarnation}
	type place struct{ move, route int }
	var places []place
	for i, m := range d.Moves {
		for k := range m.Routes {
			places = append(places, place{move: i, route: k})
		}
		m.Routes = nil
		part.Moves = append(part.Moves, m)
	}
	encoded, err := part.Encode()
	if err != nil {
		return nil, 0, err
	}
	for n := range places {
		at := places[(first+n)%len(places)]
		m := &part.Moves[at.move]
		m.Routes = append(m.Routes, d.Moves[at.move].Routes[at.route])
		longer, err := part.fit(m, limit, n == 0)
		if err != nil {
			return nil, 0, err
		}
		if len(longer) > limit {
			return encoded, n, nil
		}
		encoded = longer
	}
	return encoded, len(places), nil
}

// fit encodes the digest. If the last route is alone and too long, it leaves
// out latencies; as counters only grow, the same ones stay out from then on.
func (d *Digest) fit(m *MoveDigest, limit int, alone bool) ([]byte, error) {
	r := &m.Routes[len(m.Routes)-1]
	shorter := []func(){
		func() { r.Old.Next, r.New.Next = nil, nil },
		func() { r.Old.First, r.New.First = nil, nil },
		func() { r.Old.Total, r.New.Total = nil, nil },
	}
	encoded, err := d.Encode()
	for alone && err == nil && len(encoded) > limit && len(shorter) > 0 {
		shorter[0]()
		shorter = shorter[1:]
		encoded, err = d.Encode()
	}
	return encoded, err
}

// DecodeDigest reads what Encode wrote.
func DecodeDigest(b []byte) (*Digest, error) {
	var d Digest
	if err := msgpack.Unmarshal(b, &d); err != nil {
		return nil, fmt.Errorf("decode digest: %w: %w", errBadDigest, err)
	}
	for _, m := range d.Moves {
		if len(m.Routes) > maxDigestRoutes {
			return nil, fmt.Errorf("decode digest: %w: %d routes", errBadDigest, len(m.Routes))
		}
	}
	return &d, nil
}

func digestTable(t Table) []RouteDigest {
	routes := make([]RouteDigest, 0, len(t))
	for route, p := range t {
		routes = append(routes, RouteDigest{
			Route: route, Seq: p.events, Old: digestCounts(&p.old), New: digestCounts(&p.latest),
		})
	}
	slices.SortFunc(routes, func(a, b RouteDigest) int {
		return cmp.Compare(a.Route, b.Route)
	})
	return routes
}

func digestCounts(c *Counts) CountsDigest {
	return CountsDigest{
		Started:  c.started,
		Finished: c.finished,
		Failed:   c.failed,
		First:    c.first.sparse(),
		Next:     c.next.sparse(),
		Total:    c.total.sparse(),
	}
}

func tableOf(routes []RouteDigest) (Table, error) {
	t := make(Table, len(routes))
	for _, r := range routes {
		old, err := countsOf(r.Old)
		if err != nil {
			return nil, err
		}
		latest, err := countsOf(r.New)
		if err != nil {
			return nil, err
		}
		t[r.Route] = &Pair{events: r.Seq, old: old, latest: latest}
	}
	return t, nil
}

func countsOf(d CountsDigest) (Counts, error) {
	first, err := histogramOf(d.First)
	if err != nil {
		return Counts{}, err
	}
	next, err := histogramOf(d.Next)
	if err != nil {
		return Counts{}, err
	}
	total, err := histogramOf(d.Total)
	if err != nil {
		return Counts{}, err
	}
	return Counts{
		started: d.Started, finished: d.Finished, failed: d.Failed,
		first: first, next: next, total: total,
	}, nil
}
