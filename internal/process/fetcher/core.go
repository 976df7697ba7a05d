// Package fetcher keeps the configuration in force at a node: it hears of the
// newest revision by gossip, fetches its text, checks it and never goes back
// to a lower one.
package fetcher

import (
	"errors"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"hyssoprudder/internal/process/gossiper"
)

// Reasons why a node is not ready to serve.
var (
	// ErrUnread says that the revision in force was not yet read through the
	// leader since the node started.
	ErrUnread = errors.New("configuration not yet read through the leader")
	// ErrBehind says that a newer revision is known but not in force here.
	ErrBehind = errors.New("a newer configuration is not in force here yet")
	// ErrOutOfTouch says that neither the leader nor most peers were heard.
	ErrOutOfTouch = errors.New("out of touch with the leader and most peers")
)

// Errors of a body that is refused.
var (
	// ErrCorrupt says that a text does not have the hash that it is said to have.
	ErrCorrupt = errors.New("text does not match its hash")
	// ErrConflict says that a body has the number of a known revision, but
	// another term or hash.
	ErrConflict = errors.New("two revisions with the same number")
)

const (
	minRetry = 50 * time.Millisecond
	maxRetry = 2 * time.Second
)

// Body is one revision with its text.
type Body struct {
	Revision gossiper.Revision
	Text     string
}

// check returns an error if the text is not the one that was hashed.
func (b Body) check() error {
	if hash := xxhash.Sum64String(b.Text); hash != b.Revision.Hash {
		return fmt.Errorf("revision %d: %w", b.Revision.Number, ErrCorrupt)
	}
	return nil
}

// Core decides which revision is in force and whether the node may serve. It
// is a state machine without input or output of its own, and not safe for
// concurrent use.
type Core struct {
	bound       time.Duration
	running     Body
	newest      gossiper.Revision
	behindSince time.Time
	read        bool
	freshUntil  time.Time
	readAt      time.Time // when the leader may be asked next
	fetchAt     time.Time // when a fetch may be tried next
	retry       time.Duration
	refused     error
}

// NewCore returns the state machine of a node that has nothing in force. The
// bound is how long it may be out of touch or behind and still serve.
func NewCore(bound time.Duration) *Core {
	return &Core{bound: bound, retry: minRetry}
}

// Running returns the revision in force with its text.
func (c *Core) Running() Body { return c.running }

// Hear notes that a revision was accepted.
func (c *Core) Hear(r gossiper.Revision, now time.Time) {
	if r.Number <= c.newest.Number {
		return
	}
	if c.newest.Number <= c.running.Revision.Number {
		c.behindSince = now
	}
	c.newest = r
	c.fetchAt = now
	c.retry = minRetry
}

// Judge reports whether a body is to be put in force: whether it is newer than
// what runs. It returns an error if the body is wrong.
func (c *Core) Judge(b Body, now time.Time) (bool, error) {
	if b.Revision.Number < c.running.Revision.Number {
		return false, nil
	}
	if err := b.check(); err != nil {
		return false, err
	}
	for _, known := range []gossiper.Revision{c.running.Revision, c.newest} {
		if b.Revision.Number == known.Number && known.Number > 0 && b.Revision != known {
			return false, fmt.Errorf("revision %d: %w", known.Number, ErrConflict)
		}
	}
	if b.Revision.Number == c.running.Revision.Number {
		return false, nil
	}
	c.Hear(b.Revision, now)
	return true, nil
}

// Applied notes that a body, for which Judge said yes, is in force.
func (c *Core) Applied(b Body) {
	if b.Revision.Number > c.running.Revision.Number {
		c.running = b
		c.refused = nil
		c.retry = minRetry
	}
}

// Refused notes that a body could not be fetched, checked or put in force.
func (c *Core) Refused(err error, now time.Time) {
	c.refused = err
	c.fetchAt = now.Add(c.retry)
	c.retry = min(2*c.retry, maxRetry)
}

// ReadDone notes that the leader, asked at the given time, answered with its
// present revision, after what it answered was judged and applied.
func (c *Core) ReadDone(r gossiper.Revision, asked, now time.Time) {
	c.Hear(r, now)
	c.read = true
	c.extend(asked.Add(c.bound))
	c.readAt = now
}

// ReadFailed notes that the leader could not be read.
func (c *Core) ReadFailed(now time.Time) {
	c.readAt = now.Add(min(c.bound/4, maxRetry))
}

// Window is how recently peers must have answered to be in touch. The other
// half of the bound is what passes until the lack of answers counts.
func (c *Core) Window() time.Duration { return c.bound / 2 }

// Touch notes that most peers answered within the window.
func (c *Core) Touch(now time.Time) { c.extend(now.Add(c.bound - c.Window())) }

func (c *Core) extend(until time.Time) {
	if until.After(c.freshUntil) {
		c.freshUntil = until
	}
}

// NeedsRead reports whether the leader should be asked: before the first
// answer, and while most peers are out of touch.
func (c *Core) NeedsRead(now time.Time) bool {
	if now.Before(c.readAt) {
		return false
	}
	return !c.read || c.freshUntil.Sub(now) < c.bound/4
}

// Wanted returns the revision to fetch now, if any.
func (c *Core) Wanted(now time.Time) (gossiper.Revision, bool) {
	if c.newest.Number <= c.running.Revision.Number || now.Before(c.fetchAt) {
		return gossiper.Revision{}, false
	}
	return c.newest, true
}

// Ready returns why the node must not serve, or nil.
func (c *Core) Ready(now time.Time) error {
	switch {
	case !c.read:
		return ErrUnread
	case now.After(c.freshUntil):
		return ErrOutOfTouch
	case c.newest.Number > c.running.Revision.Number && now.Sub(c.behindSince) > c.bound:
		if c.refused != nil {
			return fmt.Errorf("%w: %w", ErrBehind, c.refused)
		}
		return ErrBehind
	default:
		return nil
	}
}
