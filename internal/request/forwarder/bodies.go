package forwarder

import "time"

const (
	// maxBodies bounds the memory for bodies of all calls of a node, in bytes. It is
	// less than half of what the smallest entries of the users have.
	maxBodies = 64 << 20
	// defaultBody bounds one body where the rules don't, in bytes.
	defaultBody = 4 << 20
	// bodiesTime is when a caller should come back that found it full.
	bodiesTime = 500 * time.Millisecond
)

// readBody reads the body of the call, within limit bytes. Memory is set aside
// before the first byte is read: the stated size, or all that is allowed.
func (x *exchange) readBody(limit int64) (Refusal, time.Duration) {
	if limit <= 0 {
		limit = defaultBody
	}
	expected := x.call.Size
	if expected < 0 || expected > limit {
		expected = limit
	}
	if x.f.bodies.Add(expected) > maxBodies {
		x.f.bodies.Add(-expected)
		x.result.Detail = "the memory for bodies is full"
		return Busy, x.f.spread(bodiesTime)
	}
	x.reserved = expected
	body, refusal := x.call.Body(limit)
	if refusal != None {
		return refusal, 0
	}
	x.f.bodies.Add(int64(len(body)) - x.reserved)
	x.body, x.reserved = body, int64(len(body))
	return None, 0
}
