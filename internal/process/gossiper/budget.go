package gossiper

import "time"

// packetOverhead is what one datagram costs beside its body: the messenger's
// header and authentication code, and the UDP and IP headers.
const packetOverhead = 80 // bytes

// maxDebt is how long a node sends nothing that can wait after a rush of
// questions that can't.
const maxDebt = 2 * time.Second

// budget is a token bucket that bounds the bytes that a node sends.
type budget struct {
	rate   float64 // bytes per second
	burst  float64 // bytes
	tokens float64
	at     time.Time
}

func newBudget(rate, burst int, now time.Time) *budget {
	return &budget{rate: float64(rate), burst: float64(burst), tokens: float64(burst), at: now}
}

// allows reports whether anything may be sent that can wait.
func (b *budget) allows(now time.Time) bool {
	if passed := now.Sub(b.at); passed > 0 {
		b.tokens = min(b.burst, b.tokens+b.rate*passed.Seconds())
		b.at = now
	}
	return b.tokens > 0
}

// spend notes what was sent. Answers that can't wait may use up more than there
// is; what they use beyond the debt of a few seconds is not made up for.
func (b *budget) spend(body int) {
	b.tokens = max(b.tokens-float64(body+packetOverhead), -maxDebt.Seconds()*b.rate)
}
