package applier_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hyssoprudder/internal/process/applier"
)

// fill executes count claims, each granted and answered with a body of the given size in bytes.
func fill(a *applier.Applier, count, body int) {
	for i := range uint64(count) {
		key, request := fmt.Sprint("order-", i), fmt.Sprintf("3f1c2a52-0000-4000-8000-%012d", i)
		a.Apply(2*i+1, 1, applier.Command{At: 1, ClaimGrant: &applier.ClaimGrant{
			Customer: "masons", Key: key, BodyHash: fmt.Sprintf("%032d", i), Entry: "entry-1", Request: request, Retention: time.Hour,
		}})
		a.Apply(2*i+2, 1, applier.Command{At: 1, ClaimFinish: &applier.ClaimFinish{
			Customer: "masons", Key: key, Request: request, Outcome: applier.OutcomeDone,
			Answer: &applier.Answer{Status: 201, Body: make([]byte, body)},
		}})
	}
}

// BenchmarkClaimMemory measures the heap memory of a finished claim and the size that is counted for it
// against the limit on all claims.
func BenchmarkClaimMemory(b *testing.B) {
	for _, body := range []int{0, 200, 2000} {
		b.Run(fmt.Sprint("answer=", body), func(b *testing.B) {
			const count = 10000
			for b.Loop() {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				a := applier.New()
				fill(a, count, body)
				runtime.GC()
				runtime.ReadMemStats(&after)
				_, counted := a.Counts()
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/count, "heap-B/claim")
				b.ReportMetric(float64(counted)/count, "counted-B/claim")
				runtime.KeepAlive(a)
			}
		})
	}
}

// BenchmarkSnapshot measures the time to capture, encode and restore a state.
func BenchmarkSnapshot(b *testing.B) {
	for _, count := range []int{1000, 10000, 50000} {
		b.Run(fmt.Sprint("claims=", count), func(b *testing.B) {
			a := applier.New()
			fill(a, count, 200)
			var capture, encode, restore time.Duration
			var size int
			for b.Loop() {
				start := time.Now()
				image := a.Capture()
				captured := time.Now()
				data, err := image.Encode()
				require.NoError(b, err)
				encoded := time.Now()
				require.NoError(b, applier.New().Restore(data))
				capture, encode, restore, size = captured.Sub(start), encoded.Sub(captured), time.Since(encoded), len(data)
			}
			b.ReportMetric(capture.Seconds()*1000, "capture-ms")
			b.ReportMetric(encode.Seconds()*1000, "encode-ms")
			b.ReportMetric(restore.Seconds()*1000, "restore-ms")
			b.ReportMetric(float64(size)/float64(count), "B/claim")
		})
	}
}
