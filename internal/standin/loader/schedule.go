package loader

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// order is one request to send.
type order struct {
	at       time.Duration // from the start of the load
	customer *Customer
	call     *Call
	key      string
	prompt   string
	max      int
	body     string // of a plain call
	entry    int    // random, picks the entry
	resend   bool
	twin     bool
	drop     int // tokens after which the caller cuts its stream; 0: never
}

// schedule draws the requests of an open-loop load: Poisson arrivals whose mix
// and content depend on the seed only.
type schedule struct {
	settings Settings
	random   *rand.Rand
	at       time.Duration
	count    int
	words    []string
}

const vocabulary = 512

func newSchedule(s Settings) *schedule {
	words := make([]string, vocabulary)
	for i := range words {
		words[i] = fmt.Sprintf("w%d", i)
	}
	return &schedule{settings: s, random: rand.New(rand.NewPCG(s.Seed, s.Seed^0xabcdef)), words: words}
}

// next returns the next request, or false when the load is over.
func (s *schedule) next() (order, bool) {
	s.at += time.Duration(s.random.ExpFloat64() / s.settings.Rate * float64(time.Second))
	if s.at >= s.settings.Duration {
		return order{}, false
	}
	s.count++
	o := order{
		at:       s.at,
		customer: pick(s.random, s.settings.Customers, func(c *Customer) float64 { return c.Share }),
		call:     pick(s.random, s.settings.Calls, func(c *Call) float64 { return c.Share }),
		key:      fmt.Sprintf("k%d-%d-%08x", s.settings.Seed, s.count, s.random.Uint32()),
		entry:    s.random.IntN(1 << 20),
	}
	if o.call.Kind == KindPlain {
		o.body = fmt.Sprintf(`{"customer":%q,"order":%q,"bags":%d}`, o.customer.Name, o.key, 1+s.random.IntN(40))
		o.resend = s.random.Float64() < o.call.Resend
		o.twin = s.random.Float64() < o.call.Twin
		return o, true
	}
	o.max = s.between(o.call.Max)
	o.prompt = s.prompt(o)
	if s.random.Float64() < o.call.Drop {
		o.drop = 1 + s.random.IntN(o.max)
	}
	return o, true
}

func (s *schedule) between(bounds [2]int) int {
	return bounds[0] + s.random.IntN(bounds[1]-bounds[0]+1)
}

// prompt begins with one of the customer's shared documents and goes on with
// words of its own.
func (s *schedule) prompt(o order) string {
	size := s.between(o.call.Prompt)
	shared := min(o.call.Shared, size-1)
	var text strings.Builder
	if shared > 0 {
		// Squaring prefers the first documents, so that a few are used most.
		x := s.random.Float64()
		document := int(x * x * float64(max(o.call.Documents, 1)))
		seed := xxhash.Sum64String(fmt.Sprint(o.call.Name, o.customer.Name, document))
		source := rand.New(rand.NewPCG(seed, seed))
		text.WriteString(o.call.Name)
		for range shared - 1 {
			text.WriteString(" " + s.words[source.IntN(vocabulary)])
		}
		text.WriteString(" ")
	}
	text.WriteString(o.key)
	for range size - shared - 1 {
		text.WriteString(" " + s.words[s.random.IntN(vocabulary)])
	}
	return text.String()
}

func pick[T any](random *rand.Rand, list []T, share func(*T) float64) *T {
	total := 0.0
	for i := range list {
		total += share(&list[i])
	}
	x := random.Float64() * total
	for i := range list {
		x -= share(&list[i])
		if x < 0 {
			return &list[i]
		}
	}
	return &list[len(list)-1]
}
