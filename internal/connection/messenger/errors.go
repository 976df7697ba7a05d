package messenger

import "errors"

// Errors of calls and datagrams.
var (
	// ErrUnanswered says that a call was sent and no answer arrived: whether
	// the peer ran it is unknown.
	ErrUnanswered = errors.New("no answer from the peer, result unknown")
	// ErrUnsent says that no byte of the call left this node.
	ErrUnsent = errors.New("call not sent")
	// ErrBusy says that the peer refused the call before running it, because
	// its workers and their queue were full or the deadline had passed.
	ErrBusy = errors.New("peer refused the call, not run")
	// ErrStopped says that the messenger has stopped or was not started.
	ErrStopped = errors.New("messenger is not running")
	// ErrTooLarge says that a body exceeds the size of a frame or datagram.
	ErrTooLarge = errors.New("message too large")
)

// RemoteError is an error that the called method returned.
type RemoteError struct {
	text string
}

// Error returns the text of the method's error.
func (e *RemoteError) Error() string { return e.text }

// dropError says why an input was dropped. Its value is the label of the
// counter of dropped inputs.
type dropError string

// The reasons for dropping an input.
const (
	dropMalformed       dropError = "malformed"
	dropOversized       dropError = "oversized"
	dropUnauthenticated dropError = "unauthenticated"
	dropReplayed        dropError = "replayed"
	dropExpired         dropError = "expired"
	dropStale           dropError = "stale"
	dropOverflow        dropError = "overflow"
	dropFiltered        dropError = "filtered"
	dropUnexpected      dropError = "unexpected"
)

// Error returns the reason.
func (e dropError) Error() string { return "dropped: " + string(e) }
