// Package proposer lets every node change and read the replicated state: it finds
// the leader among the keepers, sends commands in groups, and repeats them safely.
package proposer

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"hyssoprudder/internal/process/applier"
	"hyssoprudder/internal/process/clock"
	"hyssoprudder/internal/process/keeper"
)

// Errors of proposals and reads.
var (
	// ErrUnknown says that the command may have been executed, or may be later.
	// Sending it again with the same id is safe.
	ErrUnknown = errors.New("outcome of the command is unknown")
	// ErrNotRun says that the command was not executed and will not be.
	ErrNotRun = errors.New("command was not executed")
	// ErrStopped says that the proposer has stopped before the command was sent.
	ErrStopped = fmt.Errorf("%w: proposer has stopped", ErrNotRun)
)

const (
	defaultGroup    = 512 // commands
	defaultInflight = 4   // groups
	queueSize       = 4096
	defaultWait     = 5 * time.Second
	attemptTimeout  = time.Second
	retryPause      = 25 * time.Millisecond
)

// Config sets up a Proposer.
type Config struct {
	// Journal is the name of the log.
	Journal string
	// Keepers are the addresses of the keepers of the log.
	Keepers []netip.AddrPort
	Clock   clock.Clock
	Log     *log.Logger
	// Call sends a request to another process and waits for the reply.
	Call func(ctx context.Context, to netip.AddrPort, method string, args, reply any) error
	// IsNotRun reports whether an error of Call proves that the request was not
	// handled; nil means that no error does.
	IsNotRun func(error) bool
	// Hint returns the leader as far as this node knows it otherwise; it may be nil.
	Hint func() (netip.AddrPort, bool)
	// Attempt bounds one request to a keeper; 0 stands for a second.
	Attempt time.Duration
	// Group bounds the commands of one request, and Inflight the requests that
	// are under way at a time. Zero values stand for defaults.
	Group    int
	Inflight int
}

// Proposer sends commands and reads for one log. It is safe for concurrent use.
type Proposer struct {
	config Config
	queue  chan *pending
	slots  chan struct{}
	quit   chan struct{}
	once   sync.Once
	life   context.Context // ends with Stop
	end    context.CancelFunc
	tasks  sync.WaitGroup

	mu      sync.Mutex
	leader  netip.AddrPort
	refused netip.AddrPort // the keeper that did not answer as leader last
	next    int
}

// The states of a pending command.
const (
	stateQueued int32 = iota
	stateSent
	stateCancelled
)

// pending is one command of a caller.
type pending struct {
	ctx     context.Context
	command applier.Command
	state   atomic.Int32
	done    chan answer
}

type answer struct {
	result applier.Result
	err    error
}

// New returns a proposer that is not yet started.
func New(c Config) (*Proposer, error) {
	if c.Journal == "" || len(c.Keepers) == 0 || c.Clock == nil || c.Log == nil || c.Call == nil {
		return nil, errors.New("proposer: the name of the log, its keepers, the clock and the call must be set")
	}
	if c.Group <= 0 {
		c.Group = defaultGroup
	}
	if c.Inflight <= 0 {
		c.Inflight = defaultInflight
	}
	if c.Attempt <= 0 {
		c.Attempt = attemptTimeout
	}
	p := &Proposer{
		config: c, queue: make(chan *pending, queueSize), slots: make(chan struct{}, c.Inflight), quit: make(chan struct{}),
	}
	p.life, p.end = context.WithCancel(context.Background())
	return p, nil
}

// Start begins to send.
func (p *Proposer) Start() {
	p.tasks.Add(1)
	go p.run()
}

// Stop ends all requests and waits for them.
func (p *Proposer) Stop() {
	p.once.Do(p.closeQuit)
	p.tasks.Wait()
}

func (p *Proposer) closeQuit() {
	close(p.quit)
	p.end()
}

// Propose has a command executed and returns its result. Errors wrap ErrNotRun
// or ErrUnknown. Without a deadline in ctx it waits for five seconds.
func (p *Proposer) Propose(ctx context.Context, c applier.Command) (applier.Result, error) {
	ctx, cancel := withDefault(ctx)
	defer cancel()
	e := &pending{ctx: ctx, command: c, done: make(chan answer, 1)}
	select {
	case p.queue <- e:
	case <-ctx.Done():
		return applier.Result{}, fmt.Errorf("%w: %w", ErrNotRun, ctx.Err())
	case <-p.quit:
		return applier.Result{}, ErrStopped
	}
	select {
	case a := <-e.done:
		return a.result, a.err
	case <-ctx.Done():
	case <-p.quit:
	}
	if e.state.CompareAndSwap(stateQueued, stateCancelled) {
		return applier.Result{}, fmt.Errorf("%w: not sent in time", ErrNotRun)
	}
	select {
	case a := <-e.done:
		return a.result, a.err
	default:
		return applier.Result{}, fmt.Errorf("%w: no answer in time", ErrUnknown)
	}
}

func withDefault(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, defaultWait)
}

// run collects commands into groups while others are under way.
func (p *Proposer) run() {
	defer p.tasks.Done()
	for {
		select {
		case <-p.quit:
			return
		case p.slots <- struct{}{}:
		}
		select {
		case <-p.quit:
			return
		case e := <-p.queue:
			g := &group{proposer: p, entries: []*pending{e}}
			for n := len(p.queue); n > 0 && len(g.entries) < p.config.Group; n-- {
				g.entries = append(g.entries, <-p.queue)
			}
			p.tasks.Add(1)
			go g.run()
		}
	}
}

// target returns the keeper to ask: the leader if it is known, else the next.
func (p *Proposer) target() netip.AddrPort {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.config.Hint != nil {
		if leader, ok := p.config.Hint(); ok && leader != p.refused {
			return leader
		}
	}
	if !p.leader.IsValid() {
		p.leader = p.config.Keepers[p.next%len(p.config.Keepers)]
		p.next++
	}
	return p.leader
}

// redirect notes that asked is not the leader, but hint may be.
func (p *Proposer) redirect(asked, hint netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	// The hint may be behind; the next attempt asks another keeper.
	p.refused = asked
	if p.leader != asked {
		return
	}
	p.leader = netip.AddrPort{}
	if hint != asked {
		p.leader = hint
	}
}

// ask makes one attempt. The reply's answer says whether it succeeded.
func (p *Proposer) ask(ctx context.Context, method string, args, reply any) (to netip.AddrPort, err error) {
	to = p.target()
	ctx, cancel := context.WithTimeout(ctx, p.config.Attempt)
	defer cancel()
	return to, p.config.Call(ctx, to, method, args, reply)
}

// attemptWait is how long the keeper may take: the rest of the attempt's time.
func (p *Proposer) attemptWait(ctx context.Context) time.Duration {
	wait := p.config.Attempt
	if deadline, ok := ctx.Deadline(); ok {
		wait = min(wait, deadline.Sub(p.config.Clock.Now()))
	}
	return max(wait, time.Millisecond)
}

// group is a number of commands that are sent together.
type group struct {
	proposer *Proposer
	entries  []*pending
	sent     bool // an attempt may have been executed
}

func (g *group) run() {
	p := g.proposer
	defer p.tasks.Done()
	defer g.freeSlot()
	for {
		g.dropEnded()
		if len(g.entries) == 0 {
			return
		}
		if g.attempt() {
			return
		}
		if !clock.Sleep(p.config.Clock, retryPause, p.quit) {
			return
		}
	}
}

func (g *group) freeSlot() { <-g.proposer.slots }

// dropEnded passes over the commands whose callers have gone.
func (g *group) dropEnded() {
	rest := g.entries[:0]
	for _, e := range g.entries {
		e.state.CompareAndSwap(stateQueued, stateSent)
		switch {
		case e.state.Load() == stateCancelled:
		case e.ctx.Err() == nil:
			rest = append(rest, e)
		case g.sent:
			e.done <- answer{err: fmt.Errorf("%w: %w", ErrUnknown, e.ctx.Err())}
		default:
			e.done <- answer{err: fmt.Errorf("%w: %w", ErrNotRun, e.ctx.Err())}
		}
	}
	g.entries = rest
}

// attempt sends the group once and reports whether it was executed.
func (g *group) attempt() bool {
	p := g.proposer
	ctx, cancel := g.context()
	defer cancel()
	args := &keeper.ProposeArgs{Wait: p.attemptWait(ctx)}
	for _, e := range g.entries {
		args.Commands = append(args.Commands, e.command)
	}
	var reply keeper.ProposeReply
	to, err := p.ask(ctx, keeper.ProposeMethod(p.config.Journal), args, &reply)
	switch {
	case err != nil:
		if p.config.IsNotRun == nil || !p.config.IsNotRun(err) {
			g.sent = true
		}
		p.redirect(to, netip.AddrPort{})
	case reply.Answer == keeper.AnswerOK && len(reply.Results) == len(g.entries):
		for i, e := range g.entries {
			e.done <- answer{result: reply.Results[i]}
		}
		return true
	case reply.Answer == keeper.AnswerUnknown:
		g.sent = true
		p.redirect(to, reply.Leader)
	default:
		p.redirect(to, reply.Leader)
	}
	return false
}

// context returns one that ends with the last of the callers.
func (g *group) context() (context.Context, context.CancelFunc) {
	var latest time.Time
	for _, e := range g.entries {
		if d, ok := e.ctx.Deadline(); ok && d.After(latest) {
			latest = d
		}
	}
	return context.WithDeadline(g.proposer.life, latest)
}
