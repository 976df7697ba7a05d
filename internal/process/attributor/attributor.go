// Package attributor attributes crashes of endpoints to requests or to blocks of their prompts. Entries report which
// calls broke off when an endpoint ended and which blocks were in them; the leader decides from the reports of all
// entries which request or block crashes endpoints, and its calls are refused everywhere for a while. It performs no
// I/O.
package attributor

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// settleReports and answerReports are how many intervals between reports the leader waits at most, after a crash for
	// the reports of all entries about it, and with a suspect for their reports about answered calls.
	settleReports = 2
	answerReports = 3
	// checkTime is how long an entry takes to find out that a call broke off since its endpoint ended.
	checkTime = 300 * time.Millisecond
	// sameCrashTime is the time within which reports about an endpoint are about the same crash. A crashed
	// endpoint takes longer than that to serve again.
	sameCrashTime = 1500 * time.Millisecond
	// crashTTL is how long a crash is remembered after it was counted, so that late reports do not count again.
	crashTTL = 10 * time.Second
	// isolationThreshold is the number of crashes in a row, without a complete answer between them, after which
	// a block is isolated.
	isolationThreshold = 3
	// suspicionThreshold is the number of crashes after which entries report whether calls with the block were
	// answered.
	suspicionThreshold = 2
	// suspectTTL is how long a crash counts against a block.
	suspectTTL = time.Minute
	// maxSeen bounds the crashes that are remembered of a suspect.
	maxSeen = 64
	// maxSuspects bounds the suspects that are sent to entries; those with the most crashes are sent.
	maxSuspects = 64
	// maxTracked bounds the suspects that are tracked. When it is reached, evictedSuspects of them are evicted:
	// most requests are seen in one crash only.
	maxTracked      = 8192
	evictedSuspects = maxTracked / 4
	// minIsolation is how long a block is isolated the first time. The time doubles up to maxIsolation each
	// time that the block crashes an endpoint again.
	minIsolation = 5 * time.Minute
	maxIsolation = time.Hour
)

// Key identifies a block of the prompts of a service or, without a service, a request by its fingerprint.
type Key struct {
	Service string `msgpack:"s"`
	Block   uint64 `msgpack:"b"`
}

// RequestKey returns the key of a request. It names no service: another one may run the same request.
func RequestKey(fingerprint uint64) Key { return Key{Block: fingerprint} }

// IsRequest reports whether the key identifies a request.
func (k Key) IsRequest() bool { return k.Service == "" }

// RequestDepth is the depth of a request in an Exposure. It is greater than that of any block: a request is in fewer
// calls than the blocks of its prompt.
const RequestDepth = math.MaxInt32

// Exposure is a block that was in a call that broke off when an endpoint crashed. The times are cluster time.
type Exposure struct {
	Key Key `msgpack:"k"`
	// Depth is the position of the block in the prompt.
	Depth int `msgpack:"d"`
	// StartedAt is when the last of the calls with the block was sent.
	StartedAt time.Time `msgpack:"t"`
	// AnsweredAt is when the entry last answered the same request, zero if it does not know of an answer.
	AnsweredAt time.Time `msgpack:"n,omitempty"`
}

// Crash is what one entry knows of the crash of an endpoint.
type Crash struct {
	Endpoint  string     `msgpack:"e"`
	At        time.Time  `msgpack:"a"`
	Exposures []Exposure `msgpack:"x"`
}

// Suspect is a request or block that may have crashed endpoints since a time.
type Suspect struct {
	Key   Key       `msgpack:"k"`
	Since time.Time `msgpack:"t"`
	// Crashes is how often it did so without an answer in between, and LastCrash is the last time.
	Crashes   int       `msgpack:"c"`
	LastCrash time.Time `msgpack:"l"`
}

// Answer tells that a call with a block was answered completely at a time.
type Answer struct {
	Key Key       `msgpack:"k"`
	At  time.Time `msgpack:"t"`
}

// Isolation is a block whose calls are refused until a time.
type Isolation struct {
	Key   Key       `msgpack:"k"`
	Until time.Time `msgpack:"u"`
}

// Decision is an isolation, and what it follows from.
type Decision struct {
	Isolation
	// Since is the first crash, and SuspectedAt when crashes had been counted as often as makes a suspect.
	Since, SuspectedAt time.Time
	// Crashes is the number of crashes that were counted.
	Crashes int
	// Reports is what was known of the reports.
	Reports Reports
}

// Reports tells what the leader knows of the reports that it has got.
type Reports struct {
	// Interval is the longest time from a report of an entry until the leader has the next one, and MinInterval what it
	// is at least in any deployment.
	Interval, MinInterval time.Duration
	// EvidenceAt is until when all entries have reported their evidence, and InformedAt is until when they have
	// reported the answers to what the leader suspected. They are zero if that is not known, since an entry is late or
	// does not tell.
	EvidenceAt, InformedAt time.Time
}

// areSettled reports whether all that entries know of a crash has arrived.
func (r Reports) areSettled(at, now time.Time) bool {
	age := now.Sub(at)
	return age >= settleReports*r.Interval || age >= settleReports*r.MinInterval && !r.EvidenceAt.Before(at.Add(checkTime))
}

// haveAnswers reports whether entries have had the time to report answers to what is suspected since a time.
func (r Reports) haveAnswers(suspectedAt, now time.Time) bool {
	age := now.Sub(suspectedAt)
	return age >= answerReports*r.Interval || age >= answerReports*r.MinInterval && !r.InformedAt.Before(suspectedAt)
}

// Core decides which blocks are isolated. It is a state machine and not safe for concurrent use. All times are
// cluster time.
type Core struct {
	crashes    map[string]*crash // by endpoint
	counted    int               // number of crashes counted
	suspects   map[Key]*suspect
	isolations map[Key]*isolation
	answers    map[Key]time.Time // last answers of calls that were suspected or isolated
	adopted    map[Key]bool      // suspects of earlier leaders that were adopted
	isAdopting bool
}

type crash struct {
	at        time.Time
	exposures map[Key]Exposure
	isCounted bool
	// reviewedAt is the first review of the crash by a leader that adopts what earlier leaders knew.
	reviewedAt time.Time
}

type suspect struct {
	since       time.Time // first crash
	lastCrash   time.Time
	crashes     int       // crashes in a row: each under a call that was sent after the crash before
	suspectedAt time.Time // when crashes reached suspicionThreshold
	depth       int
	wasAnswered bool // some entry has answered the request
	// adoptedUntil is until when an earlier leader has counted the crashes. Entries report the last ones again.
	adoptedUntil time.Time
	seenIn       []int // numbers of the crashes that the block was in, at most maxSeen
}

type isolation struct {
	until    time.Time
	duration time.Duration
}

// New returns a core that knows of no crashes.
func New() *Core {
	return &Core{crashes: make(map[string]*crash), suspects: make(map[Key]*suspect), isolations: make(map[Key]*isolation), answers: make(map[Key]time.Time), adopted: make(map[Key]bool)}
}

// Add adds the report of an entry about a crash. Reports may be repeated.
func (c *Core) Add(reported *Crash) {
	known := c.crashes[reported.Endpoint]
	if known != nil && !known.isCounted && reported.At.Before(known.at) && known.at.Sub(reported.At) <= sameCrashTime {
		// A call that an entry repeated right after the crash was sent before other entries saw it.
		known.at = reported.At
	}
	if known == nil || reported.At.Sub(known.at).Abs() > sameCrashTime {
		if known != nil && reported.At.Before(known.at) {
			return
		}
		known = &crash{at: reported.At, exposures: make(map[Key]Exposure)}
		c.crashes[reported.Endpoint] = known
	}
	if known.isCounted {
		return
	}
	for _, e := range reported.Exposures {
		old, ok := known.exposures[e.Key]
		if ok && old.StartedAt.After(e.StartedAt) {
			e.StartedAt = old.StartedAt
		}
		if ok && old.AnsweredAt.After(e.AnsweredAt) {
			e.AnsweredAt = old.AnsweredAt
		}
		known.exposures[e.Key] = e
	}
}

// Answer records that a call was answered. Its block is then neither suspected nor isolated.
func (c *Core) Answer(a Answer) {
	if a.At.After(c.answers[a.Key]) {
		c.answers[a.Key] = a.At
	}
	if s := c.suspects[a.Key]; s != nil && a.At.After(s.since) {
		delete(c.suspects, a.Key)
	}
	if i := c.isolations[a.Key]; i != nil && a.At.After(i.until.Add(-i.duration)) {
		delete(c.isolations, a.Key)
	}
}

// Adopt adds the isolations that an earlier leader decided.
func (c *Core) Adopt(isolations []Isolation, now time.Time) {
	for _, adopted := range isolations {
		if i := c.isolations[adopted.Key]; (i == nil || i.until.Before(adopted.Until)) && adopted.Until.After(now) {
			c.isolations[adopted.Key] = &isolation{until: adopted.Until, duration: minIsolation}
		}
	}
}

// SetAdopting tells whether entries may still report what earlier leaders suspected and isolated. No block is isolated
// meanwhile: a request that explains the crashes may not be known yet.
func (c *Core) SetAdopting(isAdopting bool) { c.isAdopting = isAdopting }

// AdoptSuspects adds the requests that earlier leaders suspected, as the entries know them, each of them once. Blocks are
// not adopted: which of them explains the crashes cannot be told without the calls that were in these.
func (c *Core) AdoptSuspects(suspects []Suspect, now time.Time) {
	for _, adopted := range suspects {
		key := adopted.Key
		if !key.IsRequest() || c.adopted[key] || c.isolations[key] != nil || c.answers[key].After(adopted.Since) || len(c.adopted) >= maxTracked {
			continue
		}
		c.adopted[key] = true
		s := c.suspects[key]
		if s == nil {
			if len(c.suspects) >= maxTracked {
				c.evict()
			}
			s = &suspect{lastCrash: adopted.LastCrash, depth: RequestDepth}
			c.suspects[key] = s
		}
		s.since, s.adoptedUntil = adopted.Since, adopted.LastCrash.Add(sameCrashTime)
		s.crashes, s.suspectedAt = max(s.crashes, adopted.Crashes), now
	}
}

// Review counts the crashes that all entries have reported or have had the time to report. If a
// block has to be isolated from now on, it returns that decision.
func (c *Core) Review(now time.Time, reports Reports) (Decision, bool) {
	for _, k := range c.settled(now, reports) {
		k.isCounted = true
		c.count(k, now)
	}
	c.expire(now)
	d, ok := c.decide(now, reports)
	d.Reports = reports
	return d, ok
}

// settled returns the crashes to count, in the order in which they happened.
func (c *Core) settled(now time.Time, reports Reports) []*crash {
	var out []*crash
	for _, k := range c.crashes {
		isSettled := reports.areSettled(k.at, now)
		if c.isAdopting {
			// The crash may be older than the leader, and the first report about it is not the last one.
			if k.reviewedAt.IsZero() {
				k.reviewedAt = now
			}
			isSettled = now.Sub(k.reviewedAt) >= settleReports*reports.Interval
		}
		if !k.isCounted && isSettled {
			out = append(out, k)
		}
	}
	slices.SortFunc(out, func(a, b *crash) int { return a.at.Compare(b.at) })
	return out
}

// count counts a crash against the blocks in it, unless an isolated block explains it. Calls that were sent before
// the last crash that counted against a block are no new evidence: a common block is in calls at many endpoints
// that crash together. That holds for requests which have been answered before, too; one that has not may itself be
// at many endpoints at once.
func (c *Core) count(k *crash, now time.Time) {
	for key := range k.exposures {
		if i := c.isolations[key]; i != nil && now.Before(i.until) {
			return
		}
	}
	c.counted++
	// Known suspects go first, so that none of them is evicted for a new one before the crash counts against it.
	var unknown []Exposure
	for key, e := range k.exposures {
		if s := c.suspects[key]; s != nil {
			s.count(k, e, c.counted, now)
		} else {
			unknown = append(unknown, e)
		}
	}
	for _, e := range unknown {
		if len(c.suspects) >= maxTracked {
			c.evict()
		}
		s := &suspect{since: k.at, wasAnswered: !c.answers[e.Key].IsZero()}
		c.suspects[e.Key] = s
		s.count(k, e, c.counted, now)
	}
}

// count counts a crash, which has a number, against the suspect.
func (s *suspect) count(k *crash, e Exposure, number int, now time.Time) {
	if e.AnsweredAt.After(s.since) {
		*s = suspect{since: k.at}
	}
	s.wasAnswered = s.wasAnswered || !e.AnsweredAt.IsZero()
	s.depth = max(s.depth, e.Depth)
	if len(s.seenIn) < maxSeen {
		s.seenIn = append(s.seenIn, number)
	}
	isNew := e.StartedAt.After(s.lastCrash) || e.Key.IsRequest() && !s.wasAnswered
	if !isNew || k.at.Before(s.adoptedUntil) {
		return
	}
	s.crashes, s.lastCrash = s.crashes+1, k.at
	if s.crashes == suspicionThreshold {
		s.suspectedAt = now
	}
}

// decide isolates a request or a block that was in enough crashes in a row, or one that explains these crashes better.
// It waits until entries have had the time to report that calls with it were answered. A request goes before the
// blocks of its prompt, which other requests have too, unless the block has evidence enough beside that request.
func (c *Core) decide(now time.Time, reports Reports) (Decision, bool) {
	var best *suspect
	var found Key
	var repeated []*suspect // requests that were in several crashes
	for key, s := range c.suspects {
		if key.IsRequest() && len(s.seenIn) >= isolationThreshold {
			repeated = append(repeated, s)
		}
		if s.crashes < isolationThreshold || best != nil && found.IsRequest() && !key.IsRequest() {
			continue
		}
		if best == nil || key.IsRequest() && !found.IsRequest() || s.crashes > best.crashes {
			best, found = s, key
		}
	}
	if best == nil {
		return Decision{}, false
	}
	for key, s := range c.suspects {
		if s.explains(best) && (key.IsRequest() || !found.IsRequest() || s.hasEvidenceBeside(best, repeated)) {
			best, found = s, key
		}
	}
	if c.isAdopting && !found.IsRequest() || best.crashes < suspicionThreshold || !reports.haveAnswers(best.suspectedAt, now) {
		return Decision{}, false
	}
	return Decision{Isolation: c.isolate(found, now), Since: best.since, SuspectedAt: best.suspectedAt, Crashes: len(best.seenIn)}, true
}

// hasEvidenceBeside reports whether a block was in enough crashes beside those of a request, under several others:
// no one of the requests that were in several crashes was in all of these.
func (s *suspect) hasEvidenceBeside(request *suspect, repeated []*suspect) bool {
	beside := without(s.seenIn, request.seenIn)
	if s.crashes < isolationThreshold || len(beside) < isolationThreshold {
		return false
	}
	return !slices.ContainsFunc(repeated, func(other *suspect) bool { return len(without(beside, other.seenIn)) == 0 })
}

// without returns the sorted numbers that are not in excluded, which is sorted.
func without(numbers, excluded []int) []int {
	var out []int
	for _, number := range numbers {
		if _, ok := slices.BinarySearch(excluded, number); !ok {
			out = append(out, number)
		}
	}
	return out
}

// explains reports whether a block or request was in all crashes that another one was in, and either in more of them or, as the
// later one in the prompts, in fewer calls.
func (s *suspect) explains(other *suspect) bool {
	if len(other.seenIn) == 0 || len(s.seenIn) < len(other.seenIn) || len(s.seenIn) == len(other.seenIn) && s.depth <= other.depth {
		return false
	}
	for _, number := range other.seenIn {
		if _, ok := slices.BinarySearch(s.seenIn, number); !ok {
			return false
		}
	}
	return true
}

// evict removes the suspects with the fewest crashes, of these the oldest ones.
func (c *Core) evict() {
	keys := make([]Key, 0, len(c.suspects))
	for k := range c.suspects {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b Key) int {
		x, y := c.suspects[a], c.suspects[b]
		return cmp.Or(cmp.Compare(x.crashes, y.crashes), x.lastCrash.Compare(y.lastCrash), cmp.Compare(a.Block, b.Block))
	})
	for _, k := range keys[:min(len(keys), evictedSuspects)] {
		delete(c.suspects, k)
	}
}

// isolate isolates a block or a request. The crashes that it was in are thereby explained.
func (c *Core) isolate(k Key, now time.Time) Isolation {
	duration := minIsolation
	if i := c.isolations[k]; i != nil {
		duration = min(2*i.duration, maxIsolation)
	}
	c.isolations[k] = &isolation{until: now.Add(duration), duration: duration}
	explained := c.suspects[k].seenIn
	delete(c.suspects, k)
	for key, s := range c.suspects {
		if !k.IsRequest() {
			delete(c.suspects, key)
			continue
		}
		s.discount(explained, key)
		if s.crashes == 0 {
			delete(c.suspects, key)
		}
	}
	return Isolation{Key: k, Until: now.Add(duration)}
}

// discount removes crashes that a request explains. For a block one of them stays: it may be the block that makes
// the request crash endpoints, and other requests have it too. A block is not isolated before one more crash: reports
// that the request was in some of the crashes may have been lost.
func (s *suspect) discount(explained []int, key Key) {
	var rest []int
	keepOne := !key.IsRequest()
	for _, number := range s.seenIn {
		if _, ok := slices.BinarySearch(explained, number); !ok {
			rest = append(rest, number)
		} else if keepOne {
			rest, keepOne = append(rest, number), false
		}
	}
	s.seenIn, s.crashes = rest, min(s.crashes, len(rest))
	if !key.IsRequest() {
		s.crashes = min(s.crashes, isolationThreshold-1)
	}
}

// expire removes what is too old. A block whose isolation ended is on probation for as long as it was isolated: it
// is isolated again after one more crash.
func (c *Core) expire(now time.Time) {
	for endpoint, k := range c.crashes {
		if now.Sub(k.at) > crashTTL {
			delete(c.crashes, endpoint)
		}
	}
	for key, at := range c.answers {
		if now.Sub(at) > suspectTTL {
			delete(c.answers, key)
		}
	}
	for key, i := range c.isolations {
		switch {
		case now.Before(i.until):
		case now.Sub(i.until) > i.duration:
			delete(c.isolations, key)
		case c.suspects[key] == nil:
			c.suspects[key] = &suspect{since: i.until, lastCrash: i.until, suspectedAt: i.until, crashes: isolationThreshold - 1}
		}
	}
	for key, s := range c.suspects {
		if now.Sub(s.lastCrash) > suspectTTL && c.isolations[key] == nil {
			delete(c.suspects, key)
		}
	}
}

// Suspects returns the blocks of which entries report whether calls with them were answered.
func (c *Core) Suspects() []Suspect {
	var keys []Key
	for k, s := range c.suspects {
		if s.crashes >= suspicionThreshold {
			keys = append(keys, k)
		}
	}
	slices.SortFunc(keys, func(a, b Key) int {
		return cmp.Or(cmp.Compare(c.suspects[b].crashes, c.suspects[a].crashes), cmp.Compare(a.Block, b.Block))
	})
	var out []Suspect
	for _, k := range keys[:min(len(keys), maxSuspects)] {
		s := c.suspects[k]
		out = append(out, Suspect{Key: k, Since: s.since, Crashes: s.crashes, LastCrash: s.lastCrash})
	}
	return out
}

// Isolations returns the blocks that are isolated.
func (c *Core) Isolations(now time.Time) []Isolation {
	var out []Isolation
	for k, i := range c.isolations {
		if now.Before(i.until) {
			out = append(out, Isolation{Key: k, Until: i.until})
		}
	}
	slices.SortFunc(out, func(a, b Isolation) int { return cmp.Compare(a.Key.Block, b.Key.Block) })
	return out
}
