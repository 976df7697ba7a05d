package applier

import (
	"container/heap"
	"time"
)

// recordOverhead is the memory of a claim in addition to its strings, in bytes.
const recordOverhead = 384

// Claim is the record of one idempotency key of a customer. Deadline and Expires are in nanoseconds since 1970 and
// are compared with the cluster time of commands.
type Claim struct {
	Customer  string        `msgpack:"c"`
	Key       string        `msgpack:"k"`
	BodyHash  string        `msgpack:"h"`
	Entry     string        `msgpack:"e"`
	Request   string        `msgpack:"r"`
	Outcome   Outcome       `msgpack:"o"`
	Deadline  int64         `msgpack:"d"`
	Expires   int64         `msgpack:"x"`
	Retention time.Duration `msgpack:"keep"`
	Answer    *Answer       `msgpack:"a,omitempty"`
	// Released lists the IDs of requests that must never run under this key.
	Released []string `msgpack:"rel,omitempty"`
}

func (c *Claim) size() int {
	n := recordOverhead + len(c.Customer) + len(c.Key) + len(c.BodyHash) + len(c.Entry) + len(c.Request)
	for _, r := range c.Released {
		n += len(r)
	}
	if c.Answer != nil {
		n += len(c.Answer.Body)
		for _, f := range c.Answer.Header {
			n += len(f.Name) + len(f.Value)
		}
	}
	return n
}

func (c *Claim) isReleased(request string) bool {
	for _, r := range c.Released {
		if r == request {
			return true
		}
	}
	return false
}

type claimKey struct{ customer, key string }

type expiry struct {
	expiresAt int64
	key       claimKey
}

type expiryHeap []expiry

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].expiresAt < h[j].expiresAt }
func (h expiryHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *expiryHeap) Push(x any)        { *h = append(*h, x.(expiry)) }
func (h *expiryHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// table holds the claims. Records are replaced and never modified in place, so that a snapshot can be encoded
// while the table changes.
type table struct {
	records  map[claimKey]*Claim
	expiries expiryHeap
	bytes    int
}

func newTable() *table { return &table{records: make(map[claimKey]*Claim)} }

// expire evicts all records that have expired at now.
func (t *table) expire(now int64) {
	for len(t.expiries) > 0 && t.expiries[0].expiresAt <= now {
		due := heap.Pop(&t.expiries).(expiry)
		c, ok := t.records[due.key]
		if ok && c.Expires == due.expiresAt {
			t.bytes -= c.size()
			delete(t.records, due.key)
		}
	}
}

func (t *table) put(c *Claim) {
	key := claimKey{c.Customer, c.Key}
	old := t.records[key]
	if old != nil {
		t.bytes -= old.size()
	}
	t.records[key] = c
	t.bytes += c.size()
	if old == nil || old.Expires != c.Expires {
		heap.Push(&t.expiries, expiry{expiresAt: c.Expires, key: key})
	}
}

func (t *table) grant(g *ClaimGrant, now int64) *ClaimResult {
	key := claimKey{g.Customer, g.Key}
	c := t.records[key]
	if c == nil || c.Outcome == OutcomeNotRun {
		return t.grantNew(c, g, now)
	}
	if c.isReleased(g.Request) {
		return &ClaimResult{Outcome: ClaimRefused}
	}
	if c.BodyHash != g.BodyHash {
		return &ClaimResult{Outcome: ClaimMismatch}
	}
	result := &ClaimResult{Entry: c.Entry, Request: c.Request, Deadline: c.Deadline}
	switch {
	case c.Outcome == OutcomeDone:
		result.Outcome, result.Answer = ClaimReplayed, c.Answer
	case c.Outcome == OutcomeUnknown:
		result.Outcome = ClaimUnknown
	case c.Entry == g.Entry && c.Request == g.Request:
		result.Outcome = ClaimGranted
	default:
		result.Outcome = ClaimJoined
	}
	return result
}

// grantNew grants a key that is free: it has no record, or its call is known not to have run.
func (t *table) grantNew(old *Claim, g *ClaimGrant, now int64) *ClaimResult {
	retention := min(max(g.Retention, MinRetention), MaxRetention)
	c := &Claim{
		Customer: g.Customer, Key: g.Key, BodyHash: g.BodyHash, Entry: g.Entry, Request: g.Request,
		Outcome: OutcomeRunning, Deadline: g.Deadline, Retention: retention,
		Expires: max(g.Deadline, now) + int64(retention),
	}
	if old != nil {
		if old.isReleased(g.Request) {
			return &ClaimResult{Outcome: ClaimRefused}
		}
		c.Released = old.Released
		c.Expires = max(c.Expires, old.Expires)
	}
	if t.bytes+c.size() > MaxClaimBytes {
		return &ClaimResult{Outcome: ClaimFull}
	}
	t.put(c)
	return &ClaimResult{Outcome: ClaimGranted, Entry: c.Entry, Request: c.Request, Deadline: c.Deadline}
}

func (t *table) finish(f *ClaimFinish, now int64) *ClaimResult {
	c := t.records[claimKey{f.Customer, f.Key}]
	if f.Outcome == OutcomeNotRun && (c == nil || c.Request != f.Request) {
		return t.forbid(c, f, now)
	}
	if c == nil || c.Request != f.Request {
		return &ClaimResult{Outcome: ClaimStale}
	}
	if c.Outcome == f.Outcome {
		return &ClaimResult{Outcome: ClaimRecorded}
	}
	lateAnswer := c.Outcome == OutcomeUnknown && f.Outcome == OutcomeDone
	if c.Outcome != OutcomeRunning && !lateAnswer {
		return &ClaimResult{Outcome: ClaimStale}
	}
	t.recordOutcome(c, f.Outcome, f.Answer, now)
	return &ClaimResult{Outcome: ClaimRecorded}
}

func (t *table) resolve(r *ClaimResolve, now int64) *ClaimResult {
	c := t.records[claimKey{r.Customer, r.Key}]
	if c == nil || c.Request != r.Request {
		return &ClaimResult{Outcome: ClaimStale}
	}
	if c.Outcome == r.Outcome {
		return &ClaimResult{Outcome: ClaimRecorded, Answer: c.Answer}
	}
	open := c.Outcome == OutcomeRunning || c.Outcome == OutcomeUnknown
	if !open || r.Outcome != OutcomeDone && r.Outcome != OutcomeNotRun {
		return &ClaimResult{Outcome: ClaimStale}
	}
	t.recordOutcome(c, r.Outcome, r.Answer, now)
	return &ClaimResult{Outcome: ClaimRecorded}
}

func (t *table) recordOutcome(c *Claim, outcome Outcome, answer *Answer, now int64) {
	next := *c
	next.Outcome = outcome
	next.Expires = max(c.Expires, now+int64(c.Retention))
	switch outcome {
	case OutcomeDone:
		next.Answer = t.truncate(answer)
	case OutcomeNotRun:
		next.Released = appendReleased(c.Released, c.Request)
	}
	t.put(&next)
}

// forbid records that a request must not run although its grant has not been seen.
func (t *table) forbid(c *Claim, f *ClaimFinish, now int64) *ClaimResult {
	if c != nil {
		next := *c
		next.Released = appendReleased(c.Released, f.Request)
		t.put(&next)
		return &ClaimResult{Outcome: ClaimRecorded}
	}
	if t.bytes > MaxClaimBytes {
		return &ClaimResult{Outcome: ClaimFull}
	}
	t.put(&Claim{
		Customer: f.Customer, Key: f.Key, Request: f.Request, Outcome: OutcomeNotRun, Retention: MinRetention,
		Expires: now + int64(ForbiddenRetention), Released: []string{f.Request},
	})
	return &ClaimResult{Outcome: ClaimRecorded}
}

// maxReleased limits the number of released request IDs of one key.
const maxReleased = 64

func appendReleased(list []string, request string) []string {
	for _, r := range list {
		if r == request {
			return list
		}
	}
	if len(list) >= maxReleased {
		list = list[1:]
	}
	return append(append([]string(nil), list...), request)
}

// truncate drops the body of an answer that is too large to record.
func (t *table) truncate(a *Answer) *Answer {
	if a == nil {
		return nil
	}
	if len(a.Body) <= MaxAnswerBytes && t.bytes+len(a.Body) <= MaxClaimBytes {
		return a
	}
	return &Answer{Status: a.Status, Header: a.Header, Truncated: true}
}
