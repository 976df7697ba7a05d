// Package retriever retrieves the newest ruleset from the keepers, in pages. Each page has a timeout of its own and
// is requested only once, so that a ruleset of any size arrives over a slow link. All keepers have the ruleset;
// each node begins with another one, so that the leader does not send it to all nodes.
package retriever

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/charmbracelet/log"

	"hyssoprudder/internal/process/clock"
	"hyssoprudder/internal/process/coordinator"
)

const (
	// pageTimeout bounds the request for one page.
	pageTimeout = 450 * time.Millisecond
	// retryDelay is the time until the next request after two keepers did not send a usable page. A keeper that
	// follows the leader learns a moment later than the leader that a ruleset is committed.
	retryDelay = 15 * time.Millisecond
)

// Config configures a Retriever.
type Config struct {
	// Node is the name of this node, which selects the keeper that is asked first.
	Node  string
	Clock clock.Clock
	Log   *log.Logger
	// Call sends a request to another node and waits for the reply.
	Call func(ctx context.Context, to netip.AddrPort, method string, args, reply any) error
	// Apply puts an encoded ruleset in force.
	Apply func(number uint64, body []byte)
}

// Retriever retrieves rulesets. It is safe for concurrent use.
type Retriever struct {
	config Config
	wake   chan struct{}
	quit   chan struct{}
	done   chan struct{}
	ctx    context.Context //nolint:containedctx // cancels the call in flight at Stop
	cancel context.CancelFunc
	first  uint64 // selects the keeper that is asked first

	mu      sync.Mutex
	wanted  uint64
	applied uint64
	keepers []netip.AddrPort
	leader  netip.AddrPort
}

// New returns a retriever that is not yet started.
func New(c Config) *Retriever {
	r := &Retriever{config: c, wake: make(chan struct{}, 1), quit: make(chan struct{}), done: make(chan struct{}), first: xxhash.Sum64String(c.Node)}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	return r
}

// Start starts a goroutine that retrieves the rulesets passed to Retrieve.
func (r *Retriever) Start() { go r.run() }

// Stop ends the retrieval.
func (r *Retriever) Stop() {
	close(r.quit)
	r.cancel()
	<-r.done
}

// Retrieve requests the ruleset with the given number, or a later one, from the keepers. It returns at once;
// a number that is not higher than an earlier one has no effect.
func (r *Retriever) Retrieve(number uint64, keepers []netip.AddrPort, leader netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.keepers, r.leader = keepers, leader
	if number <= r.wanted {
		return
	}
	r.wanted = number
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// isBehind returns the number of the newest ruleset, and whether it is not in force yet.
func (r *Retriever) isBehind() (number uint64, behind bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.wanted, r.wanted > r.applied
}

// target returns the keeper to ask after a number of requests of a transfer were of no use. A node without rules
// asks the leader as the second keeper, since it serves nobody until it has rules.
func (r *Retriever) target(misses int) netip.AddrPort {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case misses == 1 && r.applied == 0 && r.leader.IsValid():
		return r.leader
	case len(r.keepers) == 0:
		return netip.AddrPort{}
	}
	return r.keepers[(r.first+uint64(misses))%uint64(len(r.keepers))]
}

func (r *Retriever) setApplied(number uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.applied = number
}

func (r *Retriever) run() {
	defer close(r.done)
	for {
		select {
		case <-r.quit:
			return
		case <-r.wake:
		}
		for number, behind := r.isBehind(); behind; number, behind = r.isBehind() {
			t := r.retrieve(number)
			if t == nil {
				return
			}
			r.config.Apply(t.number, t.received)
			r.setApplied(t.number)
		}
	}
}

// retrieve retrieves the ruleset with the given number or a later one. It returns nil when the retriever stops.
func (r *Retriever) retrieve(number uint64) *transfer {
	t, started, misses := newTransfer(number), r.config.Clock.Now(), 0
	for requests := 1; r.ctx.Err() == nil; requests++ {
		usable, done := r.requestPage(t, r.target(misses))
		if done {
			r.config.Log.Info("ruleset retrieved", "number", t.number, "bytes", len(t.received), "requests", requests, "took", r.config.Clock.Now().Sub(started))
			return t
		}
		if usable {
			continue
		}
		if misses++; misses > 1 && !clock.Sleep(r.config.Clock, retryDelay, r.quit) {
			return nil
		}
	}
	return nil
}

// requestPage requests the next page of a transfer from a keeper.
func (r *Retriever) requestPage(t *transfer, keeper netip.AddrPort) (usable, done bool) {
	if !keeper.IsValid() {
		return false, false
	}
	ctx, cancel := context.WithTimeout(r.ctx, pageTimeout)
	defer cancel()
	request := t.request()
	var page coordinator.RulesetPage
	if err := r.config.Call(ctx, keeper, coordinator.RulesetMethod, &request, &page); err != nil {
		r.config.Log.Warn("page of a ruleset not received; asking another keeper", "number", t.number, "offset", request.Offset,
			"bytes", request.MaxBytes, "keeper", keeper, "err", err)
		t.timedOut()
		return false, false
	}
	return t.accept(&page)
}
