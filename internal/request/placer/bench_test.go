package placer_test

import (
	"fmt"
	"testing"

	"hyssoprudder/internal/request/placer"
)

// BenchmarkPlace measures the choice of an endpoint for a call with a prompt, and the
// end of that call.
func BenchmarkPlace(b *testing.B) {
	for _, n := range []int{10, 100, 810} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			p := placer.New()
			p.SetEndpoints(newEndpoints(n, 64))
			session := uint64(0)
			for b.Loop() {
				session++
				c, _, _ := p.Place(newRequest(start, session%1000))
				p.End(c, placer.Answered, start)
			}
		})
		b.Run(fmt.Sprint(n, " that report"), func(b *testing.B) {
			p := placer.New()
			p.SetEndpoints(newEndpoints(n, 64))
			session := uint64(0)
			for b.Loop() {
				session++
				c, _, _ := p.Place(newRequest(start, session%1000))
				p.RecordLoad(c, placer.ReportedLoad{Running: 3, Slots: 64, Slowdown: 1.5}, start)
				p.End(c, placer.Answered, start)
			}
		})
	}
}

// BenchmarkPlaceCold measures the same while the endpoints of one or two of three failure domains are cold and this
// node has no lease.
func BenchmarkPlaceCold(b *testing.B) {
	for _, cold := range []int{270, 540} {
		b.Run(fmt.Sprint("810 with ", cold), func(b *testing.B) {
			p, _ := newWarming(810, cold)
			session := uint64(0)
			for b.Loop() {
				session++
				c, _, _ := p.Place(requestOf(session % 1000))
				p.End(c, placer.Answered, start)
			}
		})
	}
}

func requestOf(session uint64) *placer.Request {
	r := newRequest(start, session)
	r.Boot = start
	return r
}
