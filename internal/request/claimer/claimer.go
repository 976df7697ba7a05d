package claimer

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/charmbracelet/log"

	"hyssoprudder/internal/process/applier"
	"hyssoprudder/internal/process/clock"
)

const (
	// DefaultRetention is how long the record of a call is kept after the call's deadline.
	// A key that is repeated later counts as a new call.
	DefaultRetention = time.Hour

	shardCount      = 16
	recordTimeout   = 2 * time.Second        // for one proposal of an outcome
	grantTimeout    = 4 * time.Second        // for one proposal of a claim
	resolveInterval = 200 * time.Millisecond // between queries of a status path
	joinInterval    = 100 * time.Millisecond // between attempts to join a call in flight
	// ownerGrace is how long after a call's deadline the entry that ran it may still
	// record its outcome.
	ownerGrace = 3 * time.Second
)

// ErrNoStatus is returned if a service has no status path, or if the path gave no
// definite answer.
var ErrNoStatus = errors.New("the service has no status for the call")

// Config holds the settings and dependencies of a Claimer.
type Config struct {
	// Entry is the name of this entry.
	Entry string
	// Propose executes a command through the replicated log that holds the claim.
	Propose func(ctx context.Context, c applier.Command) (applier.Result, error)
	// IsNotRun reports whether an error of Propose proves that the command will
	// never be executed. If it is nil, no error proves this.
	IsNotRun func(error) bool
	// Wait calls WaitMethod at another entry to wait for a call that it runs.
	Wait  func(ctx context.Context, entry string, args *WaitArgs, reply *WaitReply) error
	Clock clock.Clock
	Log   *log.Logger
	// Retention is how long a record is kept after the call's deadline; 0 means DefaultRetention.
	Retention time.Duration
}

// Call is a call that must run at most once.
type Call struct {
	Customer string
	Key      string
	// Request is the id of this request. It must be unique over all requests.
	Request string
	// Fingerprint is the result of the function Fingerprint for the call. A repeated call
	// must have the same one.
	Fingerprint string
	Deadline    time.Time
	// Retention is how long the record is kept after the deadline; 0 means the Retention
	// of the Config.
	Retention time.Duration
	// Resolve queries the service's status path for the outcome of the call; nil if
	// there is none. The outcome is OutcomeDone with an answer, or OutcomeNotRun
	// if the call has not run and will not.
	Resolve func(ctx context.Context) (applier.Outcome, *applier.Answer, error)
}

// Fingerprint returns a hash of a call's method, path and body.
func Fingerprint(method, path string, body []byte) string {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(method), []byte(path), body} {
		sum := sha256.Sum256(part)
		h.Write(sum[:])
	}
	return hex.EncodeToString(h.Sum(nil)[:16])
}

// Outcome tells the entry what to do with a call.
type Outcome struct {
	kind      Kind
	execution *Execution
	answer    *applier.Answer
	reason    string
}

// Kind returns the kind of the outcome.
func (o Outcome) Kind() Kind { return o.kind }

// Execution returns the granted claim if Kind is Run.
func (o Outcome) Execution() *Execution { return o.execution }

// Answer returns the recorded answer if Kind is Replay. It is nil if the service
// reported that the call has run, but no answer.
func (o Outcome) Answer() *applier.Answer { return o.answer }

// Reason returns a short text on why the call was refused or its outcome is unknown.
func (o Outcome) Reason() string { return o.reason }

type shard struct {
	mu    sync.Mutex
	calls map[string]*Execution
}

// Claimer claims the calls of one entry and records their outcomes. It is safe for
// concurrent use.
type Claimer struct {
	config  Config
	shards  [shardCount]shard
	pending chan pendingOutcome // to be recorded by the background loop
	quit    chan struct{}
	once    sync.Once
	tasks   sync.WaitGroup
}

// New returns a claimer. Start must be called before it records outcomes in the background.
func New(c Config) *Claimer {
	if c.Retention == 0 {
		c.Retention = DefaultRetention
	}
	if c.IsNotRun == nil {
		c.IsNotRun = neverNotRun
	}
	claimer := &Claimer{config: c, pending: make(chan pendingOutcome, pendingQueueSize), quit: make(chan struct{})}
	for i := range claimer.shards {
		claimer.shards[i].calls = make(map[string]*Execution)
	}
	return claimer
}

// neverNotRun is the default of Config.IsNotRun: no error proves that a command was not run.
func neverNotRun(error) bool { return false }

// Start starts the background loop that retries outcomes that could not be recorded.
func (c *Claimer) Start() {
	c.tasks.Add(1)
	go c.run()
}

// Stop stops the background loop.
func (c *Claimer) Stop() {
	c.once.Do(c.closeQuit)
	c.tasks.Wait()
}

func (c *Claimer) closeQuit() { close(c.quit) }

// InFlight returns the number of calls in flight at this entry, including those whose
// outcome is not recorded yet.
func (c *Claimer) InFlight() int {
	n := 0
	for i := range c.shards {
		s := &c.shards[i]
		s.mu.Lock()
		n += len(s.calls)
		s.mu.Unlock()
	}
	return n
}

func (c *Claimer) shard(request string) *shard {
	return &c.shards[xxhash.Sum64String(request)%shardCount]
}

func (c *Claimer) find(request string) *Execution {
	s := c.shard(request)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[request]
}

// add registers a call in flight, so that other entries can wait for it.
func (c *Claimer) add(e *Execution) {
	s := c.shard(e.call.Request)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[e.call.Request] = e
}

func (c *Claimer) remove(e *Execution) {
	s := c.shard(e.call.Request)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.calls, e.call.Request)
}

// Begin claims the key of a call and returns what to do with the call. If a call with
// the same key is in flight, Begin waits for it to end. After an Outcome of kind Run
// the caller must call Done, NotRun or Lost of its Execution.
func (c *Claimer) Begin(ctx context.Context, call Call) Outcome {
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	e := &Execution{claimer: c, call: call, ended: make(chan struct{})}
	e.machine.deadline = call.Deadline
	c.add(e) // before the claim, so that other entries do not consider the call lost
	for joined := false; ; joined = true {
		result, err := c.propose(ctx, call)
		if err != nil {
			return e.abandon(err).afterJoin(joined)
		}
		claim := result.Claim
		if claim == nil {
			return e.abandon(errors.New("the claim command returned no result")).afterJoin(joined)
		}
		kind := e.machine.handleClaim(claim.Outcome)
		switch kind {
		case Run:
			return Outcome{kind: Run, execution: e}
		case Join:
			if o, final := c.join(ctx, call, claim); final {
				e.drop()
				return o
			}
		case Unknown:
			e.drop()
			return c.resolveOther(ctx, call, claim, "an earlier call with this key has an unknown outcome")
		default:
			e.drop()
			return Outcome{kind: kind, answer: claim.Answer, reason: string(claim.Outcome)}
		}
	}
}

// propose proposes the claim. It times out long before most deadlines if the log is
// not reachable, so that the caller can try another entry.
func (c *Claimer) propose(ctx context.Context, call Call) (applier.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, grantTimeout)
	defer cancel()
	return c.config.Propose(ctx, c.grant(call))
}

// afterJoin changes Refused to Unknown for a request that has joined a call in flight:
// this request did not run, but the call may have.
func (o Outcome) afterJoin(joined bool) Outcome {
	if joined && o.kind == Refused {
		return Outcome{kind: Unknown, reason: "the running call could not be followed"}
	}
	return o
}

func (c *Claimer) grant(call Call) applier.Command {
	return applier.Command{ClaimGrant: &applier.ClaimGrant{
		Customer: call.Customer, Key: call.Key, BodyHash: call.Fingerprint, Entry: c.config.Entry,
		Request: call.Request, Deadline: call.Deadline.UnixNano(), Retention: c.retention(call),
	}}
}

func (c *Claimer) retention(call Call) time.Duration {
	if call.Retention > 0 {
		return call.Retention
	}
	return c.config.Retention
}
