package keeper

import (
	"errors"
	"fmt"
	"net/netip"
)

// Errors of proposals and reads.
var (
	// ErrUnknown means that a proposal was appended, and that it is not known whether it will
	// be committed.
	ErrUnknown = errors.New("outcome of the proposal is unknown")
	// ErrOverwritten means that an entry of another leader replaced the proposal, so it will
	// never be executed.
	ErrOverwritten = errors.New("proposal was not committed")
	// ErrStopped means that the keeper has stopped; nothing was appended.
	ErrStopped = errors.New("keeper has stopped")
	// ErrBusy means that the change cannot be made now; nothing was appended.
	ErrBusy = errors.New("another change is in progress")
)

// NotLeaderError means that this keeper is not the leader and appended nothing.
type NotLeaderError struct {
	name    string
	address netip.AddrPort
}

// Error names the leader, if it is known.
func (e *NotLeaderError) Error() string {
	if e.name == "" {
		return "not the leader; the leader is unknown"
	}
	return fmt.Sprintf("not the leader; the leader is %s at %s", e.name, e.address)
}

// Leader returns the leader's name and address, if it is known.
func (e *NotLeaderError) Leader() (name string, address netip.AddrPort, ok bool) {
	return e.name, e.address, e.name != ""
}
