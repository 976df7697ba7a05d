package applier

import (
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Limits of the replicated state. All replicas must use the same values.
const (
	// MaxTexts is the number of revisions whose text is retained.
	MaxTexts = 64
	// MaxChanges is the number of changes whose result is retained, and of revisions that are retained.
	MaxChanges = 2048
	// IntentRetention is how long a closed intent is retained.
	IntentRetention = 24 * time.Hour
	// MaxRetention is the longest time for which a claim is retained after its deadline.
	MaxRetention = 24 * time.Hour
	// MinRetention is the shortest time for which a claim is retained after its deadline.
	MinRetention = time.Minute
	// ForbiddenRetention is how long the grant of a request is refused that was released before the grant
	// was executed.
	ForbiddenRetention = time.Hour
	// MaxAnswerBytes is the maximum size of the body of a recorded answer, in bytes.
	MaxAnswerBytes = 64 << 10
	// MaxClaimBytes limits the memory of all claims, in bytes.
	MaxClaimBytes = 32 << 20
)

// Revision is one accepted revision of the rules. Text is empty after compaction. AcceptedAt is the cluster time
// in nanoseconds since 1970.
type Revision struct {
	Number     uint64 `msgpack:"n"`
	Text       string `msgpack:"text"`
	Hash       uint64 `msgpack:"hash"`
	Author     string `msgpack:"by"`
	ChangeID   string `msgpack:"id"`
	AcceptedAt int64  `msgpack:"at"`
	Term       uint64 `msgpack:"term"`
}

// Ruleset is the newest ruleset that was submitted with a number of its own, unlike a Revision, which is
// numbered here. Its slices must not be modified.
type Ruleset struct {
	Number   uint64 `msgpack:"n"`
	Body     []byte `msgpack:"b"`
	Document []byte `msgpack:"d"`
}

// Move is the state of a service's version move.
type Move struct {
	Service string `msgpack:"svc"`
	Number  uint64 `msgpack:"n"`
	Body    []byte `msgpack:"body"`
	LastID  string `msgpack:"id"`
}

// Intent is an action at the provider, recorded before it is taken so that a new leader continues it: the start
// or release of an instance, or the usage report of a window. The package that records it encodes Body.
type Intent struct {
	ID       string `msgpack:"id"`
	Service  string `msgpack:"svc"`
	Body     []byte `msgpack:"body"`
	ClosedAt int64  `msgpack:"closed,omitempty"`
}

type change struct {
	ID     string     `msgpack:"id"`
	Result RuleResult `msgpack:"r"`
}

// Applier executes committed commands and holds the resulting state. It is safe for concurrent use.
type Applier struct {
	mu             sync.RWMutex
	index          uint64
	now            int64
	revisions      []Revision
	changes        []change
	resultByChange map[string]RuleResult
	moves          map[string]Move
	fence          Fence
	intents        map[string]Intent
	claims         *table
	ruleset        Ruleset
	evacuations    map[string]Evacuation
	onRevision     func(Revision)
}

// New returns an Applier with empty state.
func New() *Applier {
	return &Applier{
		resultByChange: make(map[string]RuleResult),
		moves:          make(map[string]Move),
		intents:        make(map[string]Intent),
		claims:         newTable(),
		evacuations:    make(map[string]Evacuation),
	}
}

// OnRevision sets a function that is called after each accepted revision, without a lock held. It must be set
// before the first call of Apply.
func (a *Applier) OnRevision(f func(Revision)) { a.onRevision = f }

// Apply executes the command of the log entry at index, which was appended in term. Entries that have been
// executed before are skipped.
func (a *Applier) Apply(index, term uint64, c Command) Result {
	a.mu.Lock()
	if index <= a.index {
		a.mu.Unlock()
		return Result{}
	}
	a.index = index
	a.now = max(a.now, c.At)
	a.claims.expire(a.now)
	previous := a.current()
	result := a.execute(term, c)
	current := a.current()
	a.mu.Unlock()
	if a.onRevision != nil && current.Number != previous.Number {
		a.onRevision(current)
	}
	return result
}

// Skip records that the log entry at index holds no command.
func (a *Applier) Skip(index uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.index = max(a.index, index)
}

func (a *Applier) execute(term uint64, c Command) Result {
	switch {
	case c.RuleApply != nil:
		return Result{Rule: a.applyRule(term, c.RuleApply)}
	case c.RulesetPut != nil:
		return Result{Ruleset: a.putRuleset(c.RulesetPut)}
	case c.MoveSet != nil:
		return Result{Move: a.setMove(c.MoveSet)}
	case c.FenceNext != nil:
		a.fence = Fence{Term: max(term, a.fence.Term), Count: a.fence.Count + 1}
		fence := a.fence
		return Result{Fence: &fence}
	case c.IntentPut != nil:
		return Result{Intent: a.putIntent(c.IntentPut)}
	case c.IntentClose != nil:
		return Result{Intent: a.closeIntent(c.IntentClose)}
	case c.ClaimGrant != nil:
		return Result{Claim: a.claims.grant(c.ClaimGrant, a.now)}
	case c.ClaimFinish != nil:
		return Result{Claim: a.claims.finish(c.ClaimFinish, a.now)}
	case c.ClaimResolve != nil:
		return Result{Claim: a.claims.resolve(c.ClaimResolve, a.now)}
	case c.EvacuationSet != nil:
		return Result{Evacuation: a.setEvacuation(c.EvacuationSet)}
	}
	return Result{}
}

func (a *Applier) current() Revision {
	if len(a.revisions) == 0 {
		return Revision{}
	}
	return a.revisions[len(a.revisions)-1]
}

func (a *Applier) applyRule(term uint64, c *RuleApply) *RuleResult {
	if first, ok := a.resultByChange[c.ChangeID]; ok {
		return &first
	}
	current := a.current()
	result := RuleResult{Outcome: RuleConflict, Revision: current.Number, Hash: current.Hash, Author: current.Author}
	if c.Base == current.Number {
		rev := Revision{
			Number: current.Number + 1, Text: c.Text, Hash: xxhash.Sum64String(c.Text),
			Author: c.Author, ChangeID: c.ChangeID, AcceptedAt: a.now, Term: term,
		}
		a.revisions = append(a.revisions, rev)
		result = RuleResult{Outcome: RuleAccepted, Revision: rev.Number, Hash: rev.Hash, Author: rev.Author}
		a.compactRevisions()
	}
	a.resultByChange[c.ChangeID] = result
	a.changes = append(a.changes, change{ID: c.ChangeID, Result: result})
	if len(a.changes) > MaxChanges {
		delete(a.resultByChange, a.changes[0].ID)
		a.changes = a.changes[1:]
	}
	return &result
}

func (a *Applier) putRuleset(c *RulesetPut) *RulesetResult {
	accepted := c.Number > a.ruleset.Number
	if accepted {
		a.ruleset = Ruleset{Number: c.Number, Body: c.Body, Document: c.Document}
	}
	return &RulesetResult{Accepted: accepted, Number: a.ruleset.Number}
}

func (a *Applier) compactRevisions() {
	if n := len(a.revisions) - MaxTexts; n > 0 {
		a.revisions[n-1].Text = ""
	}
	if len(a.revisions) > MaxChanges {
		a.revisions = a.revisions[1:]
	}
}

func (a *Applier) setMove(c *MoveSet) *MoveResult {
	current := a.moves[c.Service]
	if c.ID != "" && c.ID == current.LastID {
		return &MoveResult{Accepted: true, Number: current.Number, Body: current.Body}
	}
	if c.Base != current.Number {
		return &MoveResult{Number: current.Number, Body: current.Body}
	}
	next := Move{Service: c.Service, Number: current.Number + 1, Body: c.Body, LastID: c.ID}
	a.moves[c.Service] = next
	return &MoveResult{Accepted: true, Number: next.Number, Body: next.Body}
}

func (a *Applier) putIntent(c *IntentPut) *IntentResult {
	if known, ok := a.intents[c.ID]; ok {
		return &IntentResult{Known: true, Closed: known.ClosedAt != 0}
	}
	for id, in := range a.intents {
		if in.ClosedAt != 0 && in.ClosedAt+int64(IntentRetention) <= a.now {
			delete(a.intents, id)
		}
	}
	a.intents[c.ID] = Intent{ID: c.ID, Service: c.Service, Body: c.Body}
	return &IntentResult{Created: true, Known: true}
}

func (a *Applier) closeIntent(c *IntentClose) *IntentResult {
	in, ok := a.intents[c.ID]
	if !ok {
		return &IntentResult{}
	}
	if in.ClosedAt == 0 {
		in.ClosedAt = max(a.now, 1)
		a.intents[c.ID] = in
	}
	return &IntentResult{Known: true, Closed: true}
}

// Index returns the index of the last executed entry.
func (a *Applier) Index() uint64 {
	a.mu.RLock()
	defer a.mu.RUnlock()
	return a.index
}

// Rules returns the revision of the rules in force. Its Number is 0 if there is none.
func (a *Applier) Rules() Revision {
	a.mu.RLock()
	defer a.mu.RUnlock()
	return a.current()
}

// Ruleset returns the ruleset in force. Its Number is 0 if there is none.
func (a *Applier) Ruleset() Ruleset {
	a.mu.RLock()
	defer a.mu.RUnlock()
	return a.ruleset
}

// History returns the retained revisions, the oldest first.
func (a *Applier) History() []Revision {
	a.mu.RLock()
	defer a.mu.RUnlock()
	return append([]Revision(nil), a.revisions...)
}

// Move returns the state of a service's move. Its Number is 0 if there is none.
func (a *Applier) Move(service string) Move {
	a.mu.RLock()
	defer a.mu.RUnlock()
	return a.moves[service]
}

// Moves returns the states of all moves, ordered by service.
func (a *Applier) Moves() []Move {
	a.mu.RLock()
	defer a.mu.RUnlock()
	return a.sortedMoves()
}

// Fence returns the latest fencing number.
func (a *Applier) Fence() Fence {
	a.mu.RLock()
	defer a.mu.RUnlock()
	return a.fence
}

// Intent returns the intent with the given ID, if there is one.
func (a *Applier) Intent(id string) (Intent, bool) {
	a.mu.RLock()
	defer a.mu.RUnlock()
	in, ok := a.intents[id]
	return in, ok
}

// Intents returns all intents, ordered by ID.
func (a *Applier) Intents() []Intent {
	a.mu.RLock()
	defer a.mu.RUnlock()
	return a.sortedIntents()
}

// Claim returns the claim for a customer's key.
func (a *Applier) Claim(customer, key string) (Claim, bool) {
	a.mu.RLock()
	defer a.mu.RUnlock()
	c, ok := a.claims.records[claimKey{customer, key}]
	if !ok {
		return Claim{}, false
	}
	return *c, true
}

// Counts returns the number of claims and their size in bytes.
func (a *Applier) Counts() (claims, bytes int) {
	a.mu.RLock()
	defer a.mu.RUnlock()
	return len(a.claims.records), a.claims.bytes
}

func (a *Applier) sortedMoves() []Move {
	out := make([]Move, 0, len(a.moves))
	for _, m := range a.moves {
		out = append(out, m)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Service < out[j].Service })
	return out
}

func (a *Applier) sortedIntents() []Intent {
	out := make([]Intent, 0, len(a.intents))
	for _, in := range a.intents {
		out = append(out, in)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}
