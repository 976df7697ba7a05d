package messenger

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"time"
)

// dialAttempt is an attempt to connect, which several calls may wait for.
type dialAttempt struct {
	done chan struct{}
	link *link
	err  error
}

// linkTable holds one link to each recently called peer.
type linkTable struct {
	messenger *Messenger

	mu       sync.Mutex
	links    map[netip.AddrPort]*link
	attempts map[netip.AddrPort]*dialAttempt
	stopped  bool
}

func newLinkTable(m *Messenger) *linkTable {
	return &linkTable{
		messenger: m,
		links:     make(map[netip.AddrPort]*link),
		attempts:  make(map[netip.AddrPort]*dialAttempt),
	}
}

// get returns the link to a peer, and dials if there is none. If another call's
// attempt to dial ended by cancellation or a deadline, it tries again.
func (t *linkTable) get(ctx context.Context, to netip.AddrPort) (*link, error) {
	for {
		l, attempt, owner, err := t.lookUp(to)
		if l != nil || err != nil {
			return l, err
		}
		if owner {
			t.dial(ctx, to, attempt)
			return attempt.link, attempt.err
		}
		select {
		case <-attempt.done:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		if attempt.err == nil {
			return attempt.link, nil
		}
		if !errors.Is(attempt.err, context.Canceled) && !errors.Is(attempt.err, context.DeadlineExceeded) {
			return nil, attempt.err
		}
	}
}

// lookUp returns the link, or the attempt to wait for. With owner, the caller
// has to make the attempt itself.
func (t *linkTable) lookUp(to netip.AddrPort) (l *link, attempt *dialAttempt, owner bool, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stopped {
		return nil, nil, false, ErrStopped
	}
	if l, ok := t.links[to]; ok {
		return l, nil, false, nil
	}
	if attempt, ok := t.attempts[to]; ok {
		return nil, attempt, false, nil
	}
	attempt = &dialAttempt{done: make(chan struct{})}
	t.attempts[to] = attempt
	return nil, attempt, true, nil
}

func (t *linkTable) dial(ctx context.Context, to netip.AddrPort, attempt *dialAttempt) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	l := newLink(t.messenger, to)
	attempt.err = t.messenger.awaitUnfiltered(ctx, to)
	if attempt.err == nil {
		attempt.err = l.dial(ctx)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.attempts, to)
	if attempt.err == nil && t.stopped {
		attempt.err = ErrStopped
		_ = l.client.Close()
	}
	if attempt.err == nil {
		attempt.link = l
		if !l.isBroken() {
			t.links[to] = l
		}
	}
	close(attempt.done)
}

func (l *link) isBroken() bool {
	select {
	case <-l.lost:
		return true
	default:
		return false
	}
}

// remove removes a link, so that the next call dials.
func (t *linkTable) remove(l *link) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.links[l.to] == l {
		delete(t.links, l.to)
	}
}

// closeIdle closes the links that have been idle since the given time.
func (t *linkTable) closeIdle(before time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for to, l := range t.links {
		if l.isIdle(before) {
			delete(t.links, to)
			l.stream.close()
		}
	}
}

// stop closes all links and refuses new ones.
func (t *linkTable) stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
	for _, l := range t.links {
		l.stream.close()
	}
}
