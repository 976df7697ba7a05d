package gossiper

import "time"

// packetOverhead is the size of a datagram beyond its body: the messenger's
// header and authentication code, and the UDP and IP headers.
const packetOverhead = 80 // bytes

// maxDebt bounds how long deferrable messages are held back after a burst of
// messages that had to be sent.
const maxDebt = 2 * time.Second

// budget is a token bucket that limits the bytes that a node sends.
type budget struct {
	rate   float64 // bytes per second
	burst  float64 // bytes
	tokens float64
	at     time.Time
}

func newBudget(rate, burst int, now time.Time) *budget {
	return &budget{rate: float64(rate), burst: float64(burst), tokens: float64(burst), at: now}
}

// allows reports whether a deferrable message may be sent.
func (b *budget) allows(now time.Time) bool {
	if passed := now.Sub(b.at); passed > 0 {
		b.tokens = min(b.burst, b.tokens+b.rate*passed.Seconds())
		b.at = now
	}
	return b.tokens > 0
}

// spend deducts a message that was sent. Messages that can't be deferred may
// overdraw the bucket; a deficit beyond maxDebt is not carried over.
func (b *budget) spend(body int) {
	b.tokens = max(b.tokens-float64(body+packetOverhead), -maxDebt.Seconds()*b.rate)
}
