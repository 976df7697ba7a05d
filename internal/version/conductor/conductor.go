// Package conductor carries out the recorded moves of services at the node that
// leads the log: it takes in what the entries count, has the mover decide, and
// writes the next state. All that it keeps is made anew by the next leader.
package conductor

import (
	"context"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"hyssoprudder/internal/process/applier"
	"hyssoprudder/internal/process/clock"
	"hyssoprudder/internal/process/coordinator"
	"hyssoprudder/internal/process/keeper"
	"hyssoprudder/internal/version/judge"
	"hyssoprudder/internal/version/mover"
)

const (
	// tick is the time between two looks at the moves.
	tick = 250 * time.Millisecond
	// writeTime bounds one write to the log.
	writeTime = time.Second
)

// Config sets up a Conductor.
type Config struct {
	Clock clock.Clock
	Log   *log.Logger
	// Do runs a function with the leader's state, if this node leads.
	Do func(func(core *coordinator.Core, lease keeper.Lease, now time.Time)) bool
	// Moves returns the recorded moves.
	Moves func() []applier.Move
	// Propose changes the replicated state.
	Propose func(ctx context.Context, c applier.Command) (applier.Result, error)
	// Pace returns the pace of a move within a window.
	Pace func(window time.Duration) mover.Config
	// Routes returns the routes to a service by the committed rules.
	Routes func(service string) []mover.Route
}

// Conductor advances moves while its node leads.
type Conductor struct {
	config Config
	term   uint64
	movers map[uint64]*mover.Mover // by the identity of the move

	quit   chan struct{}
	group  sync.WaitGroup
	ctx    context.Context //nolint:containedctx // ends the write under way at Stop
	cancel context.CancelFunc
}

// New returns a conductor that is not yet started.
func New(c Config) *Conductor {
	d := &Conductor{config: c, quit: make(chan struct{}), movers: make(map[uint64]*mover.Mover)}
	d.ctx, d.cancel = context.WithCancel(context.Background())
	return d
}

// Start begins to look after the moves.
func (c *Conductor) Start() {
	c.group.Add(1)
	go c.run()
}

// Stop ends that.
func (c *Conductor) Stop() {
	close(c.quit)
	c.cancel()
	c.group.Wait()
}

func (c *Conductor) run() {
	defer c.group.Done()
	for clock.Sleep(c.config.Clock, tick, c.quit) {
		c.Round()
	}
}

// Round looks at each move once.
func (c *Conductor) Round() {
	for _, m := range c.config.Moves() {
		s, err := mover.Decode(m.Body)
		if err != nil {
			c.config.Log.Error("move passed over", "service", m.Service, "err", err)
			continue
		}
		if !s.Final() {
			c.advance(m, s)
		}
	}
}

// sight is what the leader sees of a move.
type sight struct {
	term    uint64
	now     time.Time // agreed time of day
	old     int       // instances of other versions that take work
	ready   int       // instances of the new one
	digests [][]byte
}

func (c *Conductor) sight(s mover.State) (sight, bool) {
	var seen sight
	isListed := false
	leads := c.config.Do(func(core *coordinator.Core, lease keeper.Lease, now time.Time) {
		seen.term, seen.now = lease.Term(), now.Add(core.ClusterOffset(now))
		seen.digests = core.Counts()
		var list []coordinator.Endpoint
		list, isListed = core.Endpoints()
		for _, e := range list {
			switch {
			case e.Service != s.Service || e.Leaving:
			case e.Version == s.To:
				seen.ready++
			default:
				seen.old++
			}
		}
	})
	return seen, leads && isListed
}

func (c *Conductor) advance(m applier.Move, s mover.State) {
	seen, ok := c.sight(s)
	if !ok {
		return
	}
	if c.term != seen.term {
		c.term = seen.term
		clear(c.movers)
	}
	next := c.next(s, &seen)
	if !s.Changed(next) && s.Size == next.Size {
		return
	}
	body, err := next.Encode()
	if err != nil {
		c.config.Log.Error("move can't be encoded; it stays as it is", "service", s.Service, "err", err)
		return
	}
	ctx, cancel := context.WithTimeout(c.ctx, writeTime)
	defer cancel()
	result, err := c.config.Propose(ctx, applier.Command{MoveSet: &applier.MoveSet{Service: m.Service, Base: m.Number, Body: body}})
	if err != nil || !result.Move.Accepted {
		c.config.Log.Warn("move not advanced; looking at it again", "service", s.Service, "err", err)
		return
	}
	fields := []any{"service", s.Service, "version", s.To, "phase", next.Phase, "step", next.At, "size", next.Size, "ready", seen.ready, "deadline", s.By}
	if next.Fault != nil {
		fields = append(fields, "route", next.Fault.Route, "kind", next.Fault.Kind, "evidence", next.Fault.Value, "limit", next.Fault.Limit)
	}
	c.config.Log.Info("move advanced", append(fields, "reason", next.Reason)...)
}

// next has the mover decide. As many new instances are needed as there are old
// ones when they are counted first.
func (c *Conductor) next(s mover.State, seen *sight) mover.State {
	pace := c.config.Pace(s.By.Sub(s.Begun))
	if s.Size == 0 {
		return s.Sized(pace, c.config.Routes(s.Service), max(seen.old, 1)).Effective(seen.now)
	}
	m := c.movers[s.ID()]
	if m == nil {
		m = mover.New(pace, s, c.config.Routes(s.Service), seen.term)
		c.movers[s.ID()] = m
	}
	for _, raw := range seen.digests {
		d, err := judge.DecodeDigest(raw)
		if err == nil {
			err = m.Merge(d)
		}
		if err != nil {
			c.config.Log.Warn("counts of an entry passed over", "service", s.Service, "err", err)
		}
	}
	return m.Next(s, mover.Observation{Now: seen.now, Ready: seen.ready})
}
