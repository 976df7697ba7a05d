package scaler

import (
	"slices"
	"time"
)

const (
	minBackoff = 5 * time.Second
	maxBackoff = 5 * time.Minute
)

// Backoff tracks the offers that the provider has refused, so that others are used instead for
// a while. It is not safe for concurrent use.
type Backoff struct {
	refused map[offerKey]refusal
}

type offerKey struct {
	class, domain, market string
}

type refusal struct {
	count int
	until time.Time
}

// NewBackoff returns a Backoff without refusals.
func NewBackoff() *Backoff { return &Backoff{refused: make(map[offerKey]refusal)} }

// Refused records that the provider did not start an instance of an offer. The delay before
// the next try doubles with each refusal.
func (b *Backoff) Refused(o Offer, now time.Time) {
	last := b.refused[keyOf(o)]
	delay := maxBackoff
	if last.count < 16 {
		delay = min(minBackoff<<last.count, maxBackoff)
	}
	b.refused[keyOf(o)] = refusal{count: last.count + 1, until: now.Add(delay)}
}

// Started records that the provider has started an instance of an offer.
func (b *Backoff) Started(o Offer) { delete(b.refused, keyOf(o)) }

// Allowed returns the offers that may be tried now.
func (b *Backoff) Allowed(offers []Offer, now time.Time) []Offer {
	return slices.DeleteFunc(slices.Clone(offers), func(o Offer) bool {
		return now.Before(b.refused[keyOf(o)].until)
	})
}

func keyOf(o Offer) offerKey {
	return offerKey{class: o.class, domain: o.domain, market: string(o.market)}
}
