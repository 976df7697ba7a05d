package messenger

import "errors"

// Errors of calls and datagrams.
var (
	// ErrUnanswered is returned when a call was sent and no answer arrived, so
	// that it is unknown whether the peer ran it.
	ErrUnanswered = errors.New("no answer from the peer, result unknown")
	// ErrUnsent is returned when no byte of the call left this node.
	ErrUnsent = errors.New("call not sent")
	// ErrBusy is returned when the peer refused the call before running it,
	// because its workers and their queue were full, the deadline had passed or
	// the peer was stopping.
	ErrBusy = errors.New("peer refused the call, not run")
	// ErrStopped is returned when the messenger has stopped or was not started.
	ErrStopped = errors.New("messenger is not running")
	// ErrTooLarge is returned when a body exceeds the size of a frame or
	// datagram.
	ErrTooLarge = errors.New("message too large")
)

// RemoteError is an error that the called method returned.
type RemoteError struct {
	text string
}

// Error returns the text of the method's error.
func (e *RemoteError) Error() string { return e.text }

// dropError is the reason for dropping an input. Its value is the reason label
// of the counter of dropped inputs.
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
