// Package reserver bounds the memory that concurrent answers take together, so that endpoints
// that send without end can't use up the memory of a node, and the memory that clients make a
// process hold.
package reserver

import (
	"errors"
	"io"
	"sync/atomic"
)

// firstBuffer is the size in bytes of the first buffer for an answer.
const firstBuffer = 2 << 10

// Memory is the memory for all answers of a node. It is safe for concurrent use.
type Memory struct {
	limit int64
	free  int64
	used  atomic.Int64
}

// New returns memory of limit bytes. Each reservation holds up to free bytes beyond that, so that
// small answers are read also when the memory is used up.
func New(limit, free int64) *Memory { return &Memory{limit: limit, free: free} }

// Used returns the number of reserved bytes.
func (m *Memory) Used() int64 { return m.used.Load() }

// Reservation is the part of a Memory that one answer holds. It is not safe for concurrent use.
type Reservation struct {
	memory  *Memory
	account *Account // nil if the answer does not belong to a client's connection
	held    int64
}

// Reserve returns an empty reservation.
func (m *Memory) Reserve() Reservation { return Reservation{memory: m} }

// ReserveFor returns an empty reservation for an answer to a client, which is also charged to the
// client's account.
func (m *Memory) ReserveFor(a *Account) Reservation { return Reservation{memory: m, account: a} }

// Hold makes the reservation hold a buffer of size bytes, and reports whether there is enough
// memory. Otherwise the reservation is unchanged.
func (r *Reservation) Hold(size int) bool {
	needed := int64(size) - r.memory.free - r.held
	if needed <= 0 {
		return true
	}
	if r.memory.used.Add(needed) > r.memory.limit {
		r.memory.used.Add(-needed)
		return false
	}
	if !r.account.Charge(needed) {
		r.memory.used.Add(-needed)
		return false
	}
	r.held += needed
	return true
}

// Release releases all that the reservation holds.
func (r *Reservation) Release() {
	if r.held > 0 {
		r.memory.used.Add(-r.held)
		r.account.Release(r.held)
		r.held = 0
	}
}

// Grow returns a buffer with the content of b and space for n more bytes. It reports false, with b
// unchanged, if there is not enough memory.
func (r *Reservation) Grow(b []byte, n int) ([]byte, bool) {
	if cap(b)-len(b) >= n {
		return b, true
	}
	size := max(2*cap(b), len(b)+n, firstBuffer)
	if !r.Hold(size) {
		return b, false
	}
	return append(make([]byte, 0, size), b...), true
}

// ReadAll reads up to limit bytes, or fewer if the memory is used up. It reports whether it has
// read to the end.
func (r *Reservation) ReadAll(from io.Reader, limit int) (content []byte, isWhole bool, err error) {
	for {
		grown, ok := r.Grow(content, 1)
		if !ok || len(content) >= limit {
			return content, false, nil
		}
		content = grown
		n, err := from.Read(content[len(content):min(cap(content), limit)])
		content = content[:len(content)+n]
		if errors.Is(err, io.EOF) {
			return content, true, nil
		}
		if err != nil {
			return content, false, err
		}
	}
}
