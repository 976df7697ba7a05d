package keeper

import (
	"errors"
	"fmt"
	"net/netip"
)

// Errors of proposals and reads.
var (
	// ErrUnknown says that a proposal was appended and that it is not known
	// whether it will be committed.
	ErrUnknown = errors.New("outcome of the proposal is unknown")
	// ErrOverwritten says that another leader's entry took the place of the
	// proposal, so that it will never be executed.
	ErrOverwritten = errors.New("proposal was not committed")
	// ErrStopped says that the keeper has stopped; nothing was appended.
	ErrStopped = errors.New("keeper has stopped")
	// ErrBusy says that the change cannot be made now; nothing was appended.
	ErrBusy = errors.New("another change is under way")
)

// NotLeaderError says that this keeper does not lead and appended nothing.
type NotLeaderError struct {
	name    string
	address netip.AddrPort
}

// Error names the leader as far as it is known.
func (e *NotLeaderError) Error() string {
	if e.name == "" {
		return "not the leader, and none is known"
	}
	return fmt.Sprintf("not the leader, which is %s at %s", e.name, e.address)
}

// Leader returns the leader's name and address, if it is known.
func (e *NotLeaderError) Leader() (name string, address netip.AddrPort, ok bool) {
	return e.name, e.address, e.name != ""
}
