package forwarder

import "time"

const (
	// maxBodyMemory bounds the memory for the bodies of all calls of a node, in
	// bytes. It is less than half of the memory of the users' smallest entries.
	maxBodyMemory = 64 << 20
	// maxAnswerMemory bounds the memory for all answers of a node, in bytes, besides freeAnswer
	// bytes for each of them. Together with maxBodyMemory, it is less than half of the memory of
	// the users' smallest entries. Nearly all answers and events are smaller than freeAnswer.
	maxAnswerMemory = 16 << 20
	freeAnswer      = 8 << 10
	// defaultMaxBody bounds one body if the rules set no bound, in bytes.
	defaultMaxBody = 4 << 20
	// bodyMemoryRetryAfter is the retry delay for callers that are refused since the
	// memory for bodies is full.
	bodyMemoryRetryAfter = 500 * time.Millisecond
)

// readBody reads the body of the call, within limit bytes. Memory is reserved before
// the first byte is read: the stated size, or the limit if the size is unknown or
// larger.
func (x *exchange) readBody(limit int64) (Refusal, time.Duration) {
	if limit <= 0 {
		limit = defaultMaxBody
	}
	expected := x.call.Size
	if expected < 0 || expected > limit {
		expected = limit
	}
	if x.f.bodyBytes.Add(expected) > maxBodyMemory {
		x.f.bodyBytes.Add(-expected)
		x.result.Detail = "the memory for bodies is full"
		return Busy, x.f.retryAfter(bodyMemoryRetryAfter)
	}
	x.reserved = expected
	body, refusal := x.call.Body(limit)
	if refusal != None {
		return refusal, 0
	}
	x.f.bodyBytes.Add(int64(len(body)) - x.reserved)
	x.body, x.reserved = body, int64(len(body))
	return None, 0
}
