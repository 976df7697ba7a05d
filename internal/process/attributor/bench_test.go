package attributor_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hyssoprudder/internal/process/attributor"
)

// BenchmarkReview measures the work for one report while the leader waits for answers of the suspects: 60 crashes under
// calls with a common prompt of 32 blocks, with or without a request that was in three of them.
func BenchmarkReview(b *testing.B) {
	const crashes, blocks, requests = 60, 32, 128
	for name, isRepeated := range map[string]bool{"different requests": false, "a repeated request": true} {
		b.Run(name, func(b *testing.B) {
			c, now := attributor.New(), time.Unix(1000, 0)
			for i := range crashes {
				now = now.Add(200 * time.Millisecond)
				crash := attributor.Crash{Endpoint: fmt.Sprint("e", i), At: now}
				add := func(key attributor.Key, depth int) {
					crash.Exposures = append(crash.Exposures, attributor.Exposure{Key: key, Depth: depth, StartedAt: now.Add(-time.Millisecond)})
				}
				for block := range blocks {
					add(attributor.Key{Service: "desk", Block: uint64(block + 1)}, block)
				}
				for request := range requests {
					add(attributor.RequestKey(uint64(1+i*requests+request)), attributor.RequestDepth)
				}
				if isRepeated && i >= crashes-3 {
					add(attributor.RequestKey(1<<40), attributor.RequestDepth)
				}
				c.Add(&crash, "entry")
			}
			now = now.Add(time.Second)
			for b.Loop() {
				_, isIsolated := c.Review(now, attributor.Reports{Interval: 500 * time.Millisecond, MinInterval: 500 * time.Millisecond})
				require.False(b, isIsolated)
			}
		})
	}
}
