package scaler

import (
	"slices"
	"time"
)

const (
	leastPause = 5 * time.Second
	mostPause  = 5 * time.Minute
)

// Backoff remembers which offers the platform has refused, so that others take
// their place for a while. It is not safe for concurrent use.
type Backoff struct {
	refused map[place]pause
}

type place struct {
	class, domain, market string
}

type pause struct {
	count int
	until time.Time
}

// NewBackoff returns a Backoff that knows of no refusal.
func NewBackoff() *Backoff { return &Backoff{refused: make(map[place]pause)} }

// Refused notes that the platform would not start an offer. The pause doubles
// with each refusal.
func (b *Backoff) Refused(o Offer, now time.Time) {
	p := b.refused[placeOf(o)]
	wait := mostPause
	if p.count < 16 {
		wait = min(leastPause<<p.count, mostPause)
	}
	b.refused[placeOf(o)] = pause{count: p.count + 1, until: now.Add(wait)}
}

// Started notes that the platform has started an offer.
func (b *Backoff) Started(o Offer) { delete(b.refused, placeOf(o)) }

// Allowed returns the offers that may be tried now.
func (b *Backoff) Allowed(offers []Offer, now time.Time) []Offer {
	return slices.DeleteFunc(slices.Clone(offers), func(o Offer) bool {
		return now.Before(b.refused[placeOf(o)].until)
	})
}

func placeOf(o Offer) place {
	return place{class: o.class, domain: o.domain, market: string(o.market)}
}
