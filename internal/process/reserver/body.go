package reserver

import (
	"errors"
	"io"
)

// bodyBuffer is the size in bytes of the first buffer for a body.
const bodyBuffer = 4 << 10

// Errors of ReadBody.
var (
	// ErrFull means that the budget is used up, or that the request was ended in favor of others.
	ErrFull = errors.New("the memory for requests is full")
	// ErrTooLarge means that a body is larger than its limit.
	ErrTooLarge = errors.New("the body is too large")
)

// ReadBody reads a body of at most limit bytes, of which size are announced, or -1. Memory is
// charged before it is allocated, in steps that follow what has arrived. extend is called before the first
// read and after each further step with the number of bytes received. Other errors are those of from and extend.
func (a *Account) ReadBody(from io.Reader, size, limit int64, extend func(received int64) error) ([]byte, error) {
	if size > limit {
		return nil, ErrTooLarge
	}
	before := a.Enter(Receiving)
	body, err := a.readBody(from, size, limit, extend)
	a.Enter(before)
	if a.IsEnded() {
		return nil, ErrFull
	}
	return body, err
}

func (a *Account) readBody(from io.Reader, size, limit int64, extend func(received int64) error) ([]byte, error) {
	var body []byte
	for extended := int64(-1); ; {
		if received := int64(len(body)); extended < 0 || received-extended >= progressStep {
			if err := extend(received); err != nil {
				return nil, err
			}
			extended = received
		}
		if len(body) == cap(body) {
			grown, ok := a.grow(body, size, limit)
			if !ok {
				return nil, ErrFull
			}
			body = grown
		}
		n, err := from.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		missing := int64(-1)
		if size >= 0 {
			missing = size - int64(len(body))
		}
		a.Progress(n, missing)
		switch {
		case int64(len(body)) > limit:
			return nil, ErrTooLarge
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return nil, err
		}
	}
}

// grow returns a larger buffer with the content of body. The last byte beyond size or limit is for the read
// that finds the end.
func (a *Account) grow(body []byte, size, limit int64) ([]byte, bool) {
	most := limit + 1
	if size >= 0 {
		most = size + 1
	}
	capacity := min(max(2*int64(cap(body)), bodyBuffer), most)
	if !a.Charge(capacity) {
		return nil, false
	}
	grown := append(make([]byte, 0, capacity), body...)
	a.Release(int64(cap(body)))
	return grown, true
}
