// Package fetcher keeps the configuration of a node up to date. It receives the number of the newest revision
// by gossip, fetches the text of the revision, checks it, and never returns to a lower revision.
package fetcher

import (
	"errors"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"hyssoprudder/internal/process/gossiper"
)

// Reasons why a node is not ready to serve calls.
var (
	// ErrNotRead means that the node has not read the revision in force through the leader since it started.
	ErrNotRead = errors.New("configuration not yet read through the leader")
	// ErrBehind means that a newer revision is known but not in force at this node.
	ErrBehind = errors.New("a newer configuration is not in force here yet")
	// ErrNoContact means that the node recently had neither an answer of the leader nor contact to a majority.
	ErrNoContact = errors.New("out of touch with the leader and most peers")
)

// Errors of a body that is rejected.
var (
	// ErrCorrupt means that the hash of a text is not the one stated for it.
	ErrCorrupt = errors.New("text does not match its hash")
	// ErrConflict means that a body has the number of a known revision but another term or hash.
	ErrConflict = errors.New("two revisions with the same number")
)

const (
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 2 * time.Second
)

// Body is one revision with its text.
type Body struct {
	Revision gossiper.Revision
	Text     string
}

// verifyHash returns an error if the text does not match the hash of the revision.
func (b Body) verifyHash() error {
	if hash := xxhash.Sum64String(b.Text); hash != b.Revision.Hash {
		return fmt.Errorf("revision %d: %w", b.Revision.Number, ErrCorrupt)
	}
	return nil
}

// Core decides which revision is in force and whether the node may serve calls. It is a state machine without
// input or output and is not safe for concurrent use.
type Core struct {
	maxStaleness time.Duration
	active       Body
	newest       gossiper.Revision
	behindSince  time.Time
	hasRead      bool
	freshUntil   time.Time
	nextReadAt   time.Time // earliest time of the next read through the leader
	nextFetchAt  time.Time // earliest time of the next fetch
	retryDelay   time.Duration
	lastErr      error
}

// NewCore returns the state machine of a node that has no revision in force. A node may serve calls for
// maxStaleness without contact or behind the newest revision.
func NewCore(maxStaleness time.Duration) *Core {
	return &Core{maxStaleness: maxStaleness, retryDelay: minRetryDelay}
}

// ActiveBody returns the revision in force with its text.
func (c *Core) ActiveBody() Body { return c.active }

// ReceiveRevision records that a revision was accepted.
func (c *Core) ReceiveRevision(r gossiper.Revision, now time.Time) {
	if r.Number <= c.newest.Number {
		return
	}
	if c.newest.Number <= c.active.Revision.Number {
		c.behindSince = now
	}
	c.newest = r
	c.nextFetchAt = now
	c.retryDelay = minRetryDelay
}

// ShouldApply reports whether a body should be put in force, which is the case if it is newer than the one in
// force. It returns an error if the body is invalid.
func (c *Core) ShouldApply(b Body, now time.Time) (bool, error) {
	if b.Revision.Number < c.active.Revision.Number {
		return false, nil
	}
	if err := b.verifyHash(); err != nil {
		return false, err
	}
	for _, other := range []gossiper.Revision{c.active.Revision, c.newest} {
		if b.Revision.Number == other.Number && other.Number > 0 && b.Revision != other {
			return false, fmt.Errorf("revision %d: %w", other.Number, ErrConflict)
		}
	}
	if b.Revision.Number == c.active.Revision.Number {
		return false, nil
	}
	c.ReceiveRevision(b.Revision, now)
	return true, nil
}

// Applied records that a body is in force for which ShouldApply returned true.
func (c *Core) Applied(b Body) {
	if b.Revision.Number > c.active.Revision.Number {
		c.active = b
		c.lastErr = nil
		c.retryDelay = minRetryDelay
	}
}

// Failed records that a body could not be fetched, checked or put in force.
func (c *Core) Failed(err error, now time.Time) {
	c.lastErr = err
	c.nextFetchAt = now.Add(c.retryDelay)
	c.retryDelay = min(2*c.retryDelay, maxRetryDelay)
}

// ReadDone records that the leader answered with its current revision to a request sent at asked. It is called
// after the answer was checked and applied.
func (c *Core) ReadDone(r gossiper.Revision, asked, now time.Time) {
	c.ReceiveRevision(r, now)
	c.hasRead = true
	c.extendFreshness(asked.Add(c.maxStaleness))
	c.nextReadAt = now
}

// ReadFailed records that a read through the leader failed.
func (c *Core) ReadFailed(now time.Time) {
	c.nextReadAt = now.Add(min(c.maxStaleness/4, maxRetryDelay))
}

// ContactWindow returns how recently a majority must have answered for the node to be in contact. The other half
// of maxStaleness is the time from the end of contact until the node is not ready.
func (c *Core) ContactWindow() time.Duration { return c.maxStaleness / 2 }

// MajorityAnswered records that a majority of the nodes answered within ContactWindow.
func (c *Core) MajorityAnswered(now time.Time) {
	c.extendFreshness(now.Add(c.maxStaleness - c.ContactWindow()))
}

func (c *Core) extendFreshness(until time.Time) {
	if until.After(c.freshUntil) {
		c.freshUntil = until
	}
}

// NeedsRead reports whether to read through the leader: before its first answer, and when the node, for lack of
// contact, would be not ready in less than a quarter of maxStaleness.
func (c *Core) NeedsRead(now time.Time) bool {
	if now.Before(c.nextReadAt) {
		return false
	}
	return !c.hasRead || c.freshUntil.Sub(now) < c.maxStaleness/4
}

// RevisionToFetch returns the revision to fetch now, if there is one.
func (c *Core) RevisionToFetch(now time.Time) (gossiper.Revision, bool) {
	if c.newest.Number <= c.active.Revision.Number || now.Before(c.nextFetchAt) {
		return gossiper.Revision{}, false
	}
	return c.newest, true
}

// Ready returns the reason why the node must not serve calls, or nil.
func (c *Core) Ready(now time.Time) error {
	switch {
	case !c.hasRead:
		return ErrNotRead
	case now.After(c.freshUntil):
		return ErrNoContact
	case c.newest.Number > c.active.Revision.Number && now.Sub(c.behindSince) > c.maxStaleness:
		if c.lastErr != nil {
			return fmt.Errorf("%w: %w", ErrBehind, c.lastErr)
		}
		return ErrBehind
	default:
		return nil
	}
}
