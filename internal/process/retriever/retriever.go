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
	// retryDelay is the time until the next request after a keeper did not send a usable page. A keeper that
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
	next   uint64 // selects the keeper that is asked next

	mu      sync.Mutex
	wanted  uint64
	keepers []netip.AddrPort
}

// New returns a retriever that is not yet started.
func New(c Config) *Retriever {
	r := &Retriever{config: c, wake: make(chan struct{}, 1), quit: make(chan struct{}), done: make(chan struct{}), next: xxhash.Sum64String(c.Node)}
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
func (r *Retriever) Retrieve(number uint64, keepers []netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.keepers = keepers
	if number <= r.wanted {
		return
	}
	r.wanted = number
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

func (r *Retriever) target() (wanted uint64, keeper netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.keepers) == 0 {
		return r.wanted, netip.AddrPort{}
	}
	return r.wanted, r.keepers[r.next%uint64(len(r.keepers))]
}

func (r *Retriever) run() {
	defer close(r.done)
	applied := uint64(0)
	for {
		select {
		case <-r.quit:
			return
		case <-r.wake:
		}
		for wanted, _ := r.target(); wanted > applied; wanted, _ = r.target() {
			t := r.retrieve(wanted)
			if t == nil {
				return
			}
			applied = t.number
			r.config.Apply(t.number, t.received)
		}
	}
}

// retrieve retrieves the ruleset with the given number or a later one. It returns nil when the retriever stops.
func (r *Retriever) retrieve(number uint64) *transfer {
	t, started := newTransfer(number), r.config.Clock.Now()
	for requests := 1; ; requests++ {
		if r.ctx.Err() != nil {
			return nil
		}
		usable, done := r.requestPage(t)
		if done {
			r.config.Log.Info("ruleset retrieved", "number", t.number, "bytes", len(t.received), "requests", requests, "took", r.config.Clock.Now().Sub(started))
			return t
		}
		if usable {
			continue
		}
		r.next++
		if !clock.Sleep(r.config.Clock, retryDelay, r.quit) {
			return nil
		}
	}
}

// requestPage requests the next page of a transfer.
func (r *Retriever) requestPage(t *transfer) (usable, done bool) {
	_, keeper := r.target()
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
