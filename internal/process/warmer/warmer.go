// Package warmer grants warm-up leases: the right of a node to send calls to an endpoint that is
// cold after its start, one call per CallInterval. The leader grants them, and a relay divides what it
// was granted among its entries. It is a state machine without input or output.
package warmer

import (
	"math"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// Lifetime is how long a lease is valid from when the report was sent. It exceeds the longest
	// interval between reports of an entry, which is a second, and the time for an answer.
	Lifetime = 1500 * time.Millisecond
	// CallInterval is the time between two calls with the same lease. A lease that has expired is not
	// granted to another node for as long, so that the calls of both are spaced as well.
	CallInterval = time.Second
	// preference is the expected number of nodes that request a lease, as a multiple of those that
	// can have one. Some do not report in time.
	preference = 2.0
	// widenInterval is the time after which that number has doubled, so that leases are used even if
	// fewer nodes than expected prefer the endpoint.
	widenInterval = 500 * time.Millisecond
)

// Holders returns the number of nodes that may hold a lease at a time, given how many calls a
// second an endpoint tolerates and how many it may get. A holder sends at most one in any second;
// what is left of the bound is for calls of nodes that have not heard yet that the endpoint is cold.
func Holders(rate, bound float64) int {
	return int(math.Max(1, math.Floor(math.Min((min(rate, bound)+bound)/2, math.MaxUint16))))
}

// Key identifies an endpoint. One under another address is another endpoint.
type Key struct {
	ID      string
	Address netip.AddrPort
}

// Endpoint is a cold endpoint at a position of the list, for which Leases may be held at a time.
type Endpoint struct {
	Key
	Position uint16
	Leases   int
}

// Holder is an incarnation of a node that reports, on behalf of Weight entries of Total.
type Holder struct {
	Node        string
	Incarnation uint64
	Weight      int
	Total       int
}

type holderKey struct {
	node        string
	incarnation uint64
}

// share is a number of leases that a holder has until a time.
type share struct {
	leases int
	until  time.Time
}

// account is what is granted for one endpoint.
type account struct {
	coldSince time.Time
	hash      uint64
	shares    map[holderKey][]share
}

// Granter grants the leases for cold endpoints. It is not safe for concurrent use.
type Granter struct {
	notBefore time.Time
	notAfter  time.Time // end of all leases; zero if unlimited
	cold      []Endpoint
	accounts  map[Key]*account
}

// NewGranter returns a granter that grants nothing before a time: the end of what another one may have
// granted, plus CallInterval.
func NewGranter(notBefore time.Time) *Granter {
	return &Granter{notBefore: notBefore, accounts: make(map[Key]*account)}
}

// SetCold replaces the cold endpoints. What was granted for others still counts until it expires.
func (g *Granter) SetCold(cold []Endpoint, now time.Time) {
	g.cold = cold
	isCold := make(map[Key]bool, len(cold))
	for i := range cold {
		key := cold[i].Key
		isCold[key] = true
		if g.accounts[key] == nil {
			g.accounts[key] = &account{coldSince: now, hash: xxhash.Sum64String(key.ID), shares: make(map[holderKey][]share)}
		}
	}
	for key, a := range g.accounts {
		a.expire(now)
		if len(a.shares) == 0 && !isCold[key] {
			delete(g.accounts, key)
		}
	}
}

// LimitTo sets the time when all leases end that are granted from now on.
func (g *Granter) LimitTo(end time.Time) { g.notAfter = end }

// Renew returns the positions of the endpoints for which the holder has a lease for the returned time
// from when it sent the report that was received at now. A relay that has several for an endpoint gets
// its position as often.
func (g *Granter) Renew(h Holder, now time.Time) ([]uint16, time.Duration) {
	end := now.Add(Lifetime)
	if !g.notAfter.IsZero() && g.notAfter.Before(end) {
		end = g.notAfter
	}
	if now.Before(g.notBefore) || !now.Before(end) {
		return nil, 0
	}
	var out []uint16
	nodeHash := xxhash.Sum64String(h.Node)
	for i := range g.cold {
		e := &g.cold[i]
		a := g.accounts[e.Key]
		a.expire(now)
		leases := min(a.wanted(e, &h, nodeHash, now, g.notBefore), e.Leases-a.heldByOthers(h.key()))
		if leases <= 0 {
			continue
		}
		a.shares[h.key()] = append(a.shares[h.key()], share{leases, end})
		for range leases {
			out = append(out, e.Position)
		}
	}
	if len(out) == 0 {
		return nil, 0
	}
	return out, end.Sub(now)
}

func (h *Holder) key() holderKey { return holderKey{h.Node, h.Incarnation} }

// wanted returns how many leases a holder should have. Nodes are spread by a hash of node and endpoint, so
// that different endpoints have different holders; a holder keeps what it has.
func (a *account) wanted(e *Endpoint, h *Holder, nodeHash uint64, now, notBefore time.Time) int {
	since := a.coldSince
	if since.Before(notBefore) {
		since = notBefore
	}
	widening := 1 + float64(max(now.Sub(since), 0))/float64(widenInterval)
	expected := preference * widening * float64(e.Leases) * float64(h.Weight) / float64(max(h.Total, h.Weight, 1))
	// The hash decides on the fraction, so that the expected number is met on average.
	wanted := int(math.Min(expected, math.MaxUint16) + mix(nodeHash^a.hash))
	for _, s := range a.shares[h.key()] {
		if now.Before(s.until) && s.leases > wanted && h.Weight == 1 {
			wanted = s.leases
		}
	}
	return min(wanted, h.Weight)
}

// mix returns a number in [0, 1) that is spread evenly.
func mix(x uint64) float64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return float64(x>>11) / (1 << 53)
}

// heldByOthers returns how many leases other holders may have, or have had less than CallInterval ago.
func (a *account) heldByOthers(h holderKey) int {
	sum := 0
	for key, shares := range a.shares {
		if key != h {
			sum += most(shares)
		}
	}
	return sum
}

// most returns the largest number of leases of a holder: the answer with a smaller one may have been lost.
func most(shares []share) int {
	largest := 0
	for _, s := range shares {
		largest = max(largest, s.leases)
	}
	return largest
}

// expire removes the shares that ended at least CallInterval ago, and those that a later and no smaller one
// has replaced.
func (a *account) expire(now time.Time) {
	for key, shares := range a.shares {
		kept := shares[:0]
		for i, s := range shares {
			isReplaced := slices.ContainsFunc(shares[i+1:], func(later share) bool { return later.leases >= s.leases && !later.until.Before(s.until) })
			if !isReplaced && now.Sub(s.until) < CallInterval {
				kept = append(kept, s)
			}
		}
		a.shares[key] = kept
		if len(kept) == 0 {
			delete(a.shares, key)
		}
	}
}

// Held returns the number of leases that may be in use, over all endpoints.
func (g *Granter) Held(now time.Time) int {
	sum := 0
	for _, a := range g.accounts {
		for _, shares := range a.shares {
			valid := slices.DeleteFunc(slices.Clone(shares), func(s share) bool { return !now.Before(s.until) })
			sum += most(valid)
		}
	}
	return sum
}
