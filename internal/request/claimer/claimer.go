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
	// DefaultKeep is how long a record outlives the deadline of its call. A key
	// that is repeated later counts as a new call.
	DefaultKeep = time.Hour

	shards        = 16
	recordTimeout = 2 * time.Second
	grantTimeout  = 4 * time.Second
	resolvePause  = 200 * time.Millisecond
	pollPause     = 100 * time.Millisecond
	// ownerGrace is how long after its deadline a call may still be recorded by
	// the entry that ran it.
	ownerGrace = 3 * time.Second
)

// ErrNoStatus says that a service has no status path, or that it gave no usable
// answer.
var ErrNoStatus = errors.New("the service says nothing about the call")

// Config sets up a Claimer.
type Config struct {
	// Entry is the name of this entry.
	Entry string
	// Propose has a command executed by the log that holds the claim.
	Propose func(ctx context.Context, c applier.Command) (applier.Result, error)
	// IsNotRun reports whether an error of Propose proves that the command will
	// not be executed.
	IsNotRun func(error) bool
	// Wait asks another entry for the end of a call that it runs.
	Wait  func(ctx context.Context, entry string, args *WaitArgs, reply *WaitReply) error
	Clock clock.Clock
	Log   *log.Logger
	// Keep is DefaultKeep if zero.
	Keep time.Duration
}

// Call is a call that must not be repeated.
type Call struct {
	Customer string
	Key      string
	// Request is an id that no other call has ever had.
	Request string
	// Print is the fingerprint that a repetition must share.
	Print    string
	Deadline time.Time
	// Keep is how long the record outlives the deadline; the Keep of the Config
	// if zero.
	Keep time.Duration
	// Resolve asks the service's status path what became of the call; nil if
	// there is none. The outcome is OutcomeDone with an answer, or OutcomeNotRun
	// if the call has not run and will not.
	Resolve func(ctx context.Context) (applier.Outcome, *applier.Answer, error)
}

// Fingerprint returns a hash that differs for calls that differ.
func Fingerprint(method, path string, body []byte) string {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(method), []byte(path), body} {
		sum := sha256.Sum256(part)
		h.Write(sum[:])
	}
	return hex.EncodeToString(h.Sum(nil)[:16])
}

// Outcome is what the entry must do with a call.
type Outcome struct {
	kind   Kind
	turn   *Turn
	answer *applier.Answer
	reason string
}

// Kind returns the kind of decision.
func (o Outcome) Kind() Kind { return o.kind }

// Turn returns the right to run the call if Kind is Run.
func (o Outcome) Turn() *Turn { return o.turn }

// Answer returns the recorded answer if Kind is Replay. It is nil if the service
// only said that the call has run.
func (o Outcome) Answer() *applier.Answer { return o.answer }

// Reason says in a few words why a call was refused or is unknown.
func (o Outcome) Reason() string { return o.reason }

type shard struct {
	mu    sync.Mutex
	turns map[string]*Turn
}

// Claimer claims and records the calls of one entry. It is safe for concurrent
// use.
type Claimer struct {
	config Config
	shards [shards]shard
	record chan recording
	quit   chan struct{}
	once   sync.Once
	tasks  sync.WaitGroup
}

// New returns a claimer that is not yet started.
func New(c Config) *Claimer {
	if c.Keep == 0 {
		c.Keep = DefaultKeep
	}
	if c.IsNotRun == nil {
		c.IsNotRun = neverNotRun
	}
	claimer := &Claimer{config: c, record: make(chan recording, recordQueue), quit: make(chan struct{})}
	for i := range claimer.shards {
		claimer.shards[i].turns = make(map[string]*Turn)
	}
	return claimer
}

func neverNotRun(error) bool { return false }

// Start begins to record what could not be recorded at once.
func (c *Claimer) Start() {
	c.tasks.Add(1)
	go c.run()
}

// Stop ends recording.
func (c *Claimer) Stop() {
	c.once.Do(c.closeQuit)
	c.tasks.Wait()
}

func (c *Claimer) closeQuit() { close(c.quit) }

// Running returns the number of calls that this entry holds.
func (c *Claimer) Running() int {
	n := 0
	for i := range c.shards {
		s := &c.shards[i]
		s.mu.Lock()
		n += len(s.turns)
		s.mu.Unlock()
	}
	return n
}

func (c *Claimer) shard(request string) *shard {
	return &c.shards[xxhash.Sum64String(request)%shards]
}

func (c *Claimer) find(request string) *Turn {
	s := c.shard(request)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.turns[request]
}

func (c *Claimer) keep(t *Turn) {
	s := c.shard(t.call.Request)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.turns[t.call.Request] = t
}

func (c *Claimer) forget(t *Turn) {
	s := c.shard(t.call.Request)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.turns, t.call.Request)
}

// Begin claims the key of a call and says what to do. If another entry runs a
// call with the key, Begin waits for its end. An Outcome of kind Run must be
// ended with Done, NotRun or Lost.
func (c *Claimer) Begin(ctx context.Context, call Call) Outcome {
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	t := &Turn{claimer: c, call: call, ended: make(chan struct{})}
	t.machine.deadline = call.Deadline
	c.keep(t) // before the claim, so that no other entry takes it for lost
	for joined := false; ; joined = true {
		result, err := c.propose(ctx, call)
		if err != nil {
			return t.abandon(err).after(joined)
		}
		claim := result.Claim
		if claim == nil {
			return t.abandon(errors.New("the log gave no result")).after(joined)
		}
		kind := t.machine.claimed(claim.Outcome)
		switch kind {
		case Run:
			return Outcome{kind: Run, turn: t}
		case Join:
			if o, final := c.join(ctx, call, claim); final {
				t.drop()
				return o
			}
		case Unknown:
			t.drop()
			return c.resolveOther(ctx, call, claim, "an earlier call with this key has an unknown outcome")
		default:
			t.drop()
			return Outcome{kind: kind, answer: claim.Answer, reason: string(claim.Outcome)}
		}
	}
}

// propose asks for the claim. A log that cannot be reached is given up long
// before most deadlines, so that the caller can go elsewhere.
func (c *Claimer) propose(ctx context.Context, call Call) (applier.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, grantTimeout)
	defer cancel()
	return c.config.Propose(ctx, c.grant(call))
}

// after corrects a refusal of a request that has seen another one run the call:
// the request did not run, but the call may have.
func (o Outcome) after(joined bool) Outcome {
	if joined && o.kind == Refused {
		return Outcome{kind: Unknown, reason: "the running call could not be followed"}
	}
	return o
}

func (c *Claimer) grant(call Call) applier.Command {
	return applier.Command{ClaimGrant: &applier.ClaimGrant{
		Customer: call.Customer, Key: call.Key, BodyHash: call.Print, Entry: c.config.Entry,
		Request: call.Request, Deadline: call.Deadline.UnixNano(), Retention: c.keepOf(call),
	}}
}

func (c *Claimer) keepOf(call Call) time.Duration {
	if call.Keep > 0 {
		return call.Keep
	}
	return c.config.Keep
}
