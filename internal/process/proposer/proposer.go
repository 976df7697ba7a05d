// Package proposer lets every node change and read the replicated state: it finds the leader
// among the keepers, sends commands in groups, and retries them safely.
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
	// ErrUnknown means that the command may have been executed, or may be later. Sending it
	// again with the same ID is safe.
	ErrUnknown = errors.New("outcome of the command is unknown")
	// ErrNotRun means that the command was not executed and will not be.
	ErrNotRun = errors.New("command was not executed")
	// ErrStopped means that the proposer stopped before the command was sent.
	ErrStopped = fmt.Errorf("%w: proposer has stopped", ErrNotRun)
)

const (
	defaultMaxGroupSize   = 512  // commands
	defaultMaxInFlight    = 4    // groups
	queueSize             = 4096 // commands
	defaultMaxWait        = 5 * time.Second
	defaultAttemptTimeout = time.Second
	retryDelay            = 25 * time.Millisecond
)

// Config sets up a Proposer.
type Config struct {
	// Journal is the name of the replicated log.
	Journal string
	// Keepers are the addresses of the keepers of the log.
	Keepers []netip.AddrPort
	Clock   clock.Clock
	Log     *log.Logger
	// Call sends a request to another process and waits for the reply.
	Call func(ctx context.Context, to netip.AddrPort, method string, args, reply any) error
	// IsNotRun reports whether an error of Call proves that the request was not handled. If
	// nil, no error does.
	IsNotRun func(error) bool
	// LeaderHint returns the leader that this node knows from another source; it may be nil.
	LeaderHint func() (netip.AddrPort, bool)
	// AttemptTimeout is the timeout of one request to a keeper; the default is one second.
	AttemptTimeout time.Duration
	// MaxGroupSize is the maximum number of commands in one request, and MaxInFlight the
	// maximum number of requests in flight. Zero values select the defaults.
	MaxGroupSize int
	MaxInFlight  int
}

// Proposer sends commands and reads for one log. It is safe for concurrent use.
type Proposer struct {
	config      Config
	queue       chan *pending
	slots       chan struct{}
	quit        chan struct{}
	stopOnce    sync.Once
	stopContext context.Context // ends with Stop
	cancel      context.CancelFunc
	tasks       sync.WaitGroup

	mu         sync.Mutex
	leader     netip.AddrPort
	notLeader  netip.AddrPort // keeper that most recently did not answer as leader
	nextKeeper int
}

// The states of a pending command.
const (
	stateQueued int32 = iota
	stateSent
	stateCancelled
)

// pending is a command that waits for its result.
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
		return nil, errors.New("proposer: Journal, Keepers, Clock, Log and Call must be set")
	}
	if c.MaxGroupSize <= 0 {
		c.MaxGroupSize = defaultMaxGroupSize
	}
	if c.MaxInFlight <= 0 {
		c.MaxInFlight = defaultMaxInFlight
	}
	if c.AttemptTimeout <= 0 {
		c.AttemptTimeout = defaultAttemptTimeout
	}
	p := &Proposer{
		config: c, queue: make(chan *pending, queueSize), slots: make(chan struct{}, c.MaxInFlight), quit: make(chan struct{}),
	}
	p.stopContext, p.cancel = context.WithCancel(context.Background())
	return p, nil
}

// Start begins to send commands.
func (p *Proposer) Start() {
	p.tasks.Add(1)
	go p.run()
}

// Stop cancels all requests and waits for them to end.
func (p *Proposer) Stop() {
	p.stopOnce.Do(p.closeQuit)
	p.tasks.Wait()
}

func (p *Proposer) closeQuit() {
	close(p.quit)
	p.cancel()
}

// Propose executes a command and returns its result. Errors wrap ErrNotRun or ErrUnknown. If
// ctx has no deadline, the timeout is five seconds.
func (p *Proposer) Propose(ctx context.Context, c applier.Command) (applier.Result, error) {
	ctx, cancel := withDefaultTimeout(ctx)
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

func withDefaultTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, defaultMaxWait)
}

// run collects commands into a group while earlier groups are in flight.
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
			g := &group{proposer: p, commands: []*pending{e}}
			for n := len(p.queue); n > 0 && len(g.commands) < p.config.MaxGroupSize; n-- {
				g.commands = append(g.commands, <-p.queue)
			}
			p.tasks.Add(1)
			go g.run()
		}
	}
}

// target returns the keeper for the next request: the leader if known, else the next keeper in
// turn.
func (p *Proposer) target() netip.AddrPort {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.config.LeaderHint != nil {
		if leader, ok := p.config.LeaderHint(); ok && leader != p.notLeader {
			return leader
		}
	}
	if !p.leader.IsValid() {
		p.leader = p.config.Keepers[p.nextKeeper%len(p.config.Keepers)]
		p.nextKeeper++
	}
	return p.leader
}

// redirect records that asked is not the leader, and that hint may be.
func (p *Proposer) redirect(asked, hint netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	// Config.LeaderHint may be outdated and return asked again; target then ignores it.
	p.notLeader = asked
	if p.leader != asked {
		return
	}
	p.leader = netip.AddrPort{}
	if hint != asked {
		p.leader = hint
	}
}

// request makes one attempt. If err is nil, the Answer of the reply is still to be checked.
// transferTime is what the size of the request adds to the timeout.
func (p *Proposer) request(ctx context.Context, method string, transferTime time.Duration, args, reply any) (to netip.AddrPort, err error) {
	to = p.target()
	ctx, cancel := context.WithTimeout(ctx, p.config.AttemptTimeout+transferTime)
	defer cancel()
	return to, p.config.Call(ctx, to, method, args, reply)
}

// maxWait returns how long the keeper may take: the remaining time of the attempt.
func (p *Proposer) maxWait(ctx context.Context, transferTime time.Duration) time.Duration {
	wait := p.config.AttemptTimeout + transferTime
	if deadline, ok := ctx.Deadline(); ok {
		wait = min(wait, deadline.Sub(p.config.Clock.Now()))
	}
	return max(wait, time.Millisecond)
}

// group is a number of commands that are sent together.
type group struct {
	proposer   *Proposer
	commands   []*pending
	mayHaveRun bool // an attempt may have been executed
}

func (g *group) run() {
	p := g.proposer
	defer p.tasks.Done()
	defer g.releaseSlot()
	for {
		g.dropExpired()
		if len(g.commands) == 0 {
			return
		}
		if g.attempt() {
			return
		}
		if !clock.Sleep(p.config.Clock, retryDelay, p.quit) {
			return
		}
	}
}

func (g *group) releaseSlot() { <-g.proposer.slots }

// dropExpired marks the commands as sent, drops those whose callers no longer wait, and answers
// those whose context has ended.
func (g *group) dropExpired() {
	rest := g.commands[:0]
	for _, e := range g.commands {
		e.state.CompareAndSwap(stateQueued, stateSent)
		switch {
		case e.state.Load() == stateCancelled:
		case e.ctx.Err() == nil:
			rest = append(rest, e)
		case g.mayHaveRun:
			e.done <- answer{err: fmt.Errorf("%w: %w", ErrUnknown, e.ctx.Err())}
		default:
			e.done <- answer{err: fmt.Errorf("%w: %w", ErrNotRun, e.ctx.Err())}
		}
	}
	g.commands = rest
}

// attempt sends the group once and reports whether it was executed.
func (g *group) attempt() bool {
	p := g.proposer
	ctx, cancel := g.context()
	defer cancel()
	args, size := &keeper.ProposeArgs{}, 0
	for _, e := range g.commands {
		args.Commands = append(args.Commands, e.command)
		size += e.command.PayloadSize()
	}
	// A group is transferred twice: to the leader, and from there to the other keepers.
	transferTime := 2 * keeper.TransferTime(size)
	args.MaxWait = p.maxWait(ctx, transferTime)
	var reply keeper.ProposeReply
	to, err := p.request(ctx, keeper.ProposeMethod(p.config.Journal), transferTime, args, &reply)
	switch {
	case err != nil:
		if p.config.IsNotRun == nil || !p.config.IsNotRun(err) {
			g.mayHaveRun = true
		}
		p.redirect(to, netip.AddrPort{})
	case reply.Answer == keeper.AnswerOK && len(reply.Results) == len(g.commands):
		for i, e := range g.commands {
			e.done <- answer{result: reply.Results[i]}
		}
		return true
	case reply.Answer == keeper.AnswerUnknown:
		g.mayHaveRun = true
		p.redirect(to, reply.Leader)
	default:
		p.redirect(to, reply.Leader)
	}
	return false
}

// context returns a context that ends at the latest deadline of the callers, or with Stop.
func (g *group) context() (context.Context, context.CancelFunc) {
	var latest time.Time
	for _, e := range g.commands {
		if d, ok := e.ctx.Deadline(); ok && d.After(latest) {
			latest = d
		}
	}
	return context.WithDeadline(g.proposer.stopContext, latest)
}
