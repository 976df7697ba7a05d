package scaler_test

import (
	"fmt"
	"testing"

	"hyssoprudder/internal/process/lister"
	"hyssoprudder/internal/process/scaler"
)

func BenchmarkDecide(b *testing.B) {
	var offers []scaler.Offer
	for d := range 4 {
		for i, m := range markets {
			offers = append(offers, scaler.NewOffer("a", fmt.Sprint(d), m, float64(1+2*i)))
		}
	}
	for _, size := range []int{6, 12, 24} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			need := scaler.Need{Min: size, Max: 2 * size, Spare: true, OnDemandFraction: 0.25}
			for b.Loop() {
				if plan := scaler.Decide(need, offers, nil); plan.Shortfall() > 0 || plan.Starts()[0].Market() == lister.Market("") {
					b.Fatal("no plan")
				}
			}
		})
	}
}
