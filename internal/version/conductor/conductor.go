// Package conductor runs the recorded version moves at the node that leads the log. It collects the counters
// of the entries, has the mover decide, and writes the next state to the log. A new leader rebuilds all
// other state of this package.
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
	// interval is the time between two rounds over the moves.
	interval = 250 * time.Millisecond
	// writeTimeout bounds one write to the log.
	writeTimeout = time.Second
)

// Config holds the dependencies of a Conductor.
type Config struct {
	Clock clock.Clock
	Log   *log.Logger
	// WithLeaderState calls a function with the leader's state if this node leads, and reports whether it does.
	WithLeaderState func(func(core *coordinator.Core, lease keeper.Lease, now time.Time)) bool
	// Moves returns the recorded moves.
	Moves func() []applier.Move
	// Propose changes the replicated state.
	Propose func(ctx context.Context, c applier.Command) (applier.Result, error)
	// MoveConfig returns the configuration of a move with the given window.
	MoveConfig func(window time.Duration) mover.Config
	// Routes returns the routes to a service according to the committed rules.
	Routes func(service string) []mover.Route
}

// Conductor advances moves while its node leads.
type Conductor struct {
	config Config
	term   uint64
	movers map[uint64]*mover.Mover // by move ID

	quit   chan struct{}
	group  sync.WaitGroup
	ctx    context.Context //nolint:containedctx // cancels a write in progress at Stop
	cancel context.CancelFunc
}

// New returns a conductor that is not started.
func New(c Config) *Conductor {
	d := &Conductor{config: c, quit: make(chan struct{}), movers: make(map[uint64]*mover.Mover)}
	d.ctx, d.cancel = context.WithCancel(context.Background())
	return d
}

// Start starts the goroutine that runs the moves.
func (c *Conductor) Start() {
	c.group.Add(1)
	go c.run()
}

// Stop stops the conductor and waits for its goroutine.
func (c *Conductor) Stop() {
	close(c.quit)
	c.cancel()
	c.group.Wait()
}

func (c *Conductor) run() {
	defer c.group.Done()
	for clock.Sleep(c.config.Clock, interval, c.quit) {
		c.Round()
	}
}

// Round advances each move that is not final.
func (c *Conductor) Round() {
	for _, m := range c.config.Moves() {
		s, err := mover.Decode(m.Body)
		if err != nil {
			c.config.Log.Error("skipping move with malformed state", "service", m.Service, "err", err)
			continue
		}
		if !s.Final() {
			c.advance(m, s)
		}
	}
}

// observation is the leader's input for the decision on a move.
type observation struct {
	term    uint64
	now     time.Time      // cluster time
	old     int            // instances of other versions that accept calls
	ready   int            // instances of the new version
	listed  map[string]int // instances by version, with those that are leaving
	digests [][]byte
}

func (c *Conductor) observe(s mover.State) (observation, bool) {
	o := observation{listed: make(map[string]int)}
	isListed := false
	leads := c.config.WithLeaderState(func(core *coordinator.Core, lease keeper.Lease, now time.Time) {
		o.term, o.now = lease.Term(), now.Add(core.ClusterTimeOffset(now))
		o.digests = core.Counts()
		var list []coordinator.Endpoint
		list, isListed = core.Endpoints()
		for _, e := range list {
			if e.Service != s.Service {
				continue
			}
			o.listed[e.Version]++
			switch {
			case e.Leaving || e.LeavingSince > 0 || s.IsRejected(e.Version):
			case e.Version == s.To:
				o.ready++
			default:
				o.old++
			}
		}
	})
	return o, leads && isListed
}

func (c *Conductor) advance(m applier.Move, s mover.State) {
	o, ok := c.observe(s)
	if !ok {
		return
	}
	if c.term != o.term {
		c.term = o.term
		clear(c.movers)
	}
	next := c.next(s, &o)
	if !s.Changed(next) && s.Size == next.Size {
		return
	}
	body, err := next.Encode()
	if err != nil {
		c.config.Log.Error("cannot encode move; its state is unchanged", "service", s.Service, "err", err)
		return
	}
	ctx, cancel := context.WithTimeout(c.ctx, writeTimeout)
	defer cancel()
	result, err := c.config.Propose(ctx, applier.Command{MoveSet: &applier.MoveSet{Service: m.Service, Base: m.Number, Body: body}})
	if err != nil || !result.Move.Accepted {
		c.config.Log.Warn("move not advanced; retrying", "service", s.Service, "err", err)
		return
	}
	fields := []any{"service", s.Service, "version", s.To, "phase", next.Phase, "step", next.StepIndex, "size", next.Size, "ready", o.ready, "deadline", s.Deadline}
	if next.Fault != nil {
		fields = append(fields, "route", next.Fault.Route, "kind", next.Fault.Kind, "evidence", next.Fault.Value, "limit", next.Fault.Limit)
	}
	c.config.Log.Info("move advanced", append(fields, "reason", next.Reason)...)
}

// next has the mover decide. The first time that instances are listed, it plans the move.
func (c *Conductor) next(s mover.State, o *observation) mover.State {
	moveConfig := c.config.MoveConfig(s.Deadline.Sub(s.CreatedAt))
	if s.Size == 0 {
		return c.plan(s, o, moveConfig).Effective(o.now)
	}
	m := c.movers[s.ID()]
	if m == nil {
		m = mover.New(moveConfig, s, c.config.Routes(s.Service), o.term)
		c.movers[s.ID()] = m
	}
	for _, raw := range o.digests {
		d, err := judge.DecodeDigest(raw)
		if err == nil {
			err = m.Merge(d)
		}
		if err != nil {
			c.config.Log.Warn("skipping counters of an entry", "service", s.Service, "err", err)
		}
	}
	return m.Next(s, mover.Observation{Now: o.now, Ready: o.ready})
}

// plan sets the size of the move to the number of old instances, which is how many new instances are required.
func (c *Conductor) plan(s mover.State, o *observation, config mover.Config) mover.State {
	base := s.RunningVersion(o.listed)
	if base == "" {
		return s
	}
	size := o.old
	if base == s.To {
		size = o.ready
	}
	return s.Plan(config, base, c.config.Routes(s.Service), max(size, 1))
}
