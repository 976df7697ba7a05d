package forwarder

import "sync/atomic"

// concurrency bounds the calls that a node serves at a time.
type concurrency struct {
	calls atomic.Int64
	limit atomic.Int64 // 0 for none
}

// begin counts a call, unless there are as many as the node may serve.
func (c *concurrency) begin() bool {
	if n := c.calls.Add(1); c.limit.Load() > 0 && n > c.limit.Load() {
		c.calls.Add(-1)
		return false
	}
	return true
}

func (c *concurrency) end() { c.calls.Add(-1) }

// SetMaxCalls bounds the admitted calls that are served at a time; 0 means no bound. Further ones
// are refused before they reach an endpoint.
func (f *Forwarder) SetMaxCalls(n int) { f.concurrency.limit.Store(int64(n)) }

// Calls returns the number of admitted calls that are being served.
func (f *Forwarder) Calls() int { return int(f.concurrency.calls.Load()) }
