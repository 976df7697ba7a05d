package loader

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// arrival is one scheduled request.
type arrival struct {
	at              time.Duration // time since the start of the load
	customer        *Customer
	call            *Call
	key             string
	prompt          string
	max             int
	body            string // request body of a plain call
	entryIndex      int    // random; selects the entry modulo the number of ready entries
	resend          bool   // sent again with the same key after the answer
	duplicate       bool   // sent to two entries at once with the same key
	disconnectAfter int    // tokens after which the caller disconnects from its stream; 0 means never
}

// schedule draws the requests of an open-loop load: Poisson arrivals whose mix and
// content depend only on the settings and the seed.
type schedule struct {
	settings Settings
	random   *rand.Rand
	at       time.Duration
	count    int
	words    []string
}

// vocabularySize is the number of distinct random words in prompts.
const vocabularySize = 512

func newSchedule(s Settings) *schedule {
	words := make([]string, vocabularySize)
	for i := range words {
		words[i] = fmt.Sprintf("w%d", i)
	}
	return &schedule{settings: s, random: rand.New(rand.NewPCG(s.Seed, s.Seed^0xabcdef)), words: words}
}

// next returns the next request, or false at the end of the load.
func (s *schedule) next() (arrival, bool) {
	s.at += time.Duration(s.random.ExpFloat64() / s.settings.Rate * float64(time.Second))
	if s.at >= s.settings.Duration {
		return arrival{}, false
	}
	s.count++
	a := arrival{
		at:         s.at,
		customer:   pick(s.random, s.settings.Customers, func(c *Customer) float64 { return c.Weight }),
		call:       pick(s.random, s.settings.Calls, func(c *Call) float64 { return c.Weight }),
		key:        fmt.Sprintf("k%d-%d-%08x", s.settings.Seed, s.count, s.random.Uint32()),
		entryIndex: s.random.IntN(1 << 20),
	}
	if a.call.Kind == KindPlain {
		a.body = fmt.Sprintf(`{"customer":%q,"order":%q,"bags":%d}`, a.customer.Name, a.key, 1+s.random.IntN(40))
		a.resend = s.random.Float64() < a.call.ResendRate
		a.duplicate = s.random.Float64() < a.call.DuplicateRate
		return a, true
	}
	a.max = s.between(a.call.Max)
	a.prompt = s.prompt(a)
	if s.random.Float64() < a.call.DisconnectRate {
		a.disconnectAfter = 1 + s.random.IntN(a.max)
	}
	return a, true
}

func (s *schedule) between(bounds [2]int) int {
	return bounds[0] + s.random.IntN(bounds[1]-bounds[0]+1)
}

// prompt returns a prompt that begins with one of the customer's shared documents
// and continues with words unique to it.
func (s *schedule) prompt(a arrival) string {
	size := s.between(a.call.Prompt)
	shared := min(a.call.SharedWords, size-1)
	var text strings.Builder
	if shared > 0 {
		// Squaring favors the first documents, so that a few of them are used most.
		x := s.random.Float64()
		document := int(x * x * float64(max(a.call.Documents, 1)))
		seed := xxhash.Sum64String(fmt.Sprint(a.call.Name, a.customer.Name, document))
		source := rand.New(rand.NewPCG(seed, seed))
		text.WriteString(a.call.Name)
		for range shared - 1 {
			text.WriteString(" " + s.words[source.IntN(vocabularySize)])
		}
		text.WriteString(" ")
	}
	text.WriteString(a.key)
	for range size - shared - 1 {
		text.WriteString(" " + s.words[s.random.IntN(vocabularySize)])
	}
	return text.String()
}

func pick[T any](random *rand.Rand, list []T, weight func(*T) float64) *T {
	total := 0.0
	for i := range list {
		total += weight(&list[i])
	}
	x := random.Float64() * total
	for i := range list {
		x -= weight(&list[i])
		if x < 0 {
			return &list[i]
		}
	}
	return &list[len(list)-1]
}
