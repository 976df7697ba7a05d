package forwarder

import (
	"time"

	"hyssoprudder/internal/process/reserver"
)

const (
	// maxAnswerMemory bounds the memory for all answers of a node, in bytes, besides freeAnswer
	// bytes for each of them. Nearly all answers and events are smaller than freeAnswer.
	maxAnswerMemory = 16 << 20
	freeAnswer      = 8 << 10
	// defaultMaxBody bounds one body if the rules set no bound, in bytes.
	defaultMaxBody = 4 << 20
	// bodyMemoryRetryAfter is the retry delay for callers that are refused since the
	// memory for requests is full.
	bodyMemoryRetryAfter = 500 * time.Millisecond
)

// readBody reads the body of the call, within limit bytes. The memory is charged to the account of the
// caller's connection as the body arrives; an authenticated customer is a group of callers of its own there.
func (x *exchange) readBody(limit int64) (Refusal, time.Duration) {
	if limit <= 0 {
		limit = defaultMaxBody
	}
	if x.customer != nil {
		reserver.FromContext(x.ctx).SetGroup(x.customer.Name)
	}
	body, refusal := x.call.Body(limit)
	if refusal == Crowded {
		x.result.Detail = "the memory for requests is full"
		return refusal, x.f.retryAfter(bodyMemoryRetryAfter)
	}
	x.body = body
	return refusal, 0
}
