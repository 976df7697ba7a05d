// Package attributor attributes crashes of endpoints to requests or to blocks of their prompts. Entries report which
// calls broke off when an endpoint ended and which blocks were in them; the leader decides from the reports of all
// entries which request or block crashes endpoints, and its calls are refused everywhere for a while. It performs no
// I/O.
package attributor

import (
	"cmp"
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
	// minLost is the number of connections to an endpoint that are lost together if it has ended, at least.
	minLost = 2
	// sameLossTime is the time within which connections are lost together.
	sameLossTime = 500 * time.Millisecond
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
	isEnded   bool           // some entry can't reach the endpoint
	lost      map[string]int // connections lost together, by who reported them
	number    int            // of the crashes counted; 0 before, and if something isolated explains it
	late      []Key          // reported after the crash was counted
	// reviewedAt is the first review of the crash by a leader that adopts what earlier leaders knew.
	reviewedAt time.Time
}

// isCertain reports whether the endpoint has ended. One that is started again at once can be reached; then several
// connections were lost together. A single one may have been closed for the sake of its call.
func (k *crash) isCertain() bool {
	lost := 0
	for _, n := range k.lost {
		lost += n
	}
	return k.isEnded || lost >= minLost
}

type isolation struct {
	until    time.Time
	duration time.Duration
}

// New returns a core that knows of no crashes.
func New() *Core {
	return &Core{crashes: make(map[string]*crash), suspects: make(map[Key]*suspect), isolations: make(map[Key]*isolation), answers: make(map[Key]time.Time), adopted: make(map[Key]bool)}
}

// Add adds the report of an entry, or of a relay for several, about a crash. Reports may be repeated.
func (c *Core) Add(reported *Crash, from string) {
	known := c.crashes[reported.Endpoint]
	if known != nil && !known.isCounted && reported.At.Before(known.at) && known.at.Sub(reported.At) <= sameCrashTime {
		// A call that an entry repeated right after the crash was sent before other entries saw it.
		known.at = reported.At
	}
	if known == nil || reported.At.Sub(known.at).Abs() > sameCrashTime {
		if known != nil && reported.At.Before(known.at) {
			return
		}
		known = &crash{at: reported.At, exposures: make(map[Key]Exposure), lost: make(map[string]int)}
		c.crashes[reported.Endpoint] = known
	}
	known.isEnded = known.isEnded || reported.Lost == 0
	if reported.At.Sub(known.at).Abs() <= sameLossTime {
		known.lost[from] = max(known.lost[from], reported.Lost)
	}
	for _, e := range reported.Exposures {
		old, ok := known.exposures[e.Key]
		if !ok && known.isCounted {
			known.late = append(known.late, e.Key)
		}
		if ok {
			e = e.merge(old)
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
			s = &suspect{key: key, depth: RequestDepth}
			c.suspects[key] = s
		}
		s.adopt(adopted, now)
	}
}

// Review counts the crashes that all entries have reported or have had the time to report. If a
// block has to be isolated from now on, it returns that decision.
func (c *Core) Review(now time.Time, reports Reports) (Decision, bool) {
	for _, k := range c.settled(now, reports) {
		k.isCounted = true
		c.count(k, now)
	}
	for _, k := range c.crashes {
		if len(k.late) > 0 {
			c.countLate(k, now)
		}
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
		if !k.isCounted && isSettled && k.isCertain() {
			out = append(out, k)
		}
	}
	slices.SortFunc(out, func(a, b *crash) int { return a.at.Compare(b.at) })
	return out
}

// count counts a crash against what was in it, unless something isolated explains it.
func (c *Core) count(k *crash, now time.Time) {
	if c.isExplained(k, now) {
		return
	}
	c.counted++
	k.number = c.counted
	// Known suspects go first, so that none of them is evicted for a new one before the crash counts against it.
	var unknown []Exposure
	for key, e := range k.exposures {
		if c.suspects[key] != nil {
			c.sight(k, e, now)
		} else {
			unknown = append(unknown, e)
		}
	}
	for _, e := range unknown {
		c.sight(k, e, now)
	}
}

// countLate counts what was reported after a crash was counted. A sound block that was in all crashes would otherwise
// explain them better than the deadly one, of which one report came late.
func (c *Core) countLate(k *crash, now time.Time) {
	late := k.late
	k.late = nil
	switch {
	case k.number == 0:
	case c.isExplained(k, now):
		for key, s := range c.suspects {
			if s.remove(k.number, now) == 0 {
				delete(c.suspects, key)
			}
		}
		k.number = 0
	default:
		for _, key := range late {
			c.sight(k, k.exposures[key], now)
		}
	}
}

// isExplained reports whether something that is isolated was in a crash.
func (c *Core) isExplained(k *crash, now time.Time) bool {
	for key := range k.exposures {
		if i := c.isolations[key]; i != nil && now.Before(i.until) {
			return true
		}
	}
	return false
}

// sight counts a crash against a request or block in it, unless a call with that was answered since.
func (c *Core) sight(k *crash, e Exposure, now time.Time) {
	if e.AnsweredAt.After(k.at) || c.answers[e.Key].After(k.at) {
		return
	}
	s := c.suspects[e.Key]
	if s == nil {
		if len(c.suspects) >= maxTracked {
			c.evict()
		}
		s = &suspect{key: e.Key, since: k.at, wasAnswered: !c.answers[e.Key].IsZero()}
		c.suspects[e.Key] = s
	}
	s.see(k, e, now)
}

// decide isolates a request or a block that was in enough crashes in a row, or one that explains these crashes better.
// It waits until entries have had the time to report that calls with it were answered. A request goes before the
// blocks of its prompt, which other requests have too, unless the block has evidence enough beside that request.
func (c *Core) decide(now time.Time, reports Reports) (Decision, bool) {
	var best *suspect
	var found Key
	var repeated []*suspect // requests that were in several crashes
	for key, s := range c.suspects {
		if key.IsRequest() && len(s.seen) >= isolationThreshold {
			repeated = append(repeated, s)
		}
		if s.crashes < isolationThreshold || !s.hasOwnEvidence() || best != nil && found.IsRequest() && !key.IsRequest() {
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
	return Decision{Isolation: c.isolate(found, now), Since: best.since, SuspectedAt: best.suspectedAt, Crashes: len(best.seen)}, true
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
	explained := c.suspects[k]
	delete(c.suspects, k)
	for key, s := range c.suspects {
		if !k.IsRequest() {
			delete(c.suspects, key)
			continue
		}
		s.discount(explained)
		if s.crashes == 0 {
			delete(c.suspects, key)
		}
	}
	return Isolation{Key: k, Until: now.Add(duration)}
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
			c.suspects[key] = newProbation(key, i.until)
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
