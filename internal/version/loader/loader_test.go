package loader_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"hyssoprudder/internal/version/loader"
)

func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

var start = time.Date(2027, 1, 10, 5, 0, 0, 0, time.UTC)

// Whatever the store answers, no more than the allowed number of transfers run, nothing starts while the store
// is rate-limited, and all transfers complete in the end.
func TestQueueUnderRefusals(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := loader.DefaultConfig()
		config.MaxParallel = rapid.IntRange(1, 3).Draw(t, "parallel")
		q := loader.NewQueue(config)
		pending := make(map[loader.Load]loader.Need)
		for i := range rapid.IntRange(1, 8).Draw(t, "loads") {
			l := loader.NewLoad("pumice", "13", fmt.Sprint(i))
			pending[l] = loader.Need{Load: l, Missing: rapid.IntRange(0, 3).Draw(t, "missing")}
		}
		running := make(map[loader.Load]time.Time)
		now, blocked := start, start
		for step := 0; len(pending) > 0; step++ {
			require.Less(t, step, 3000, "all transfers complete")
			needs := make([]loader.Need, 0, len(pending))
			for _, n := range pending {
				needs = append(needs, n)
			}
			q.Reconcile(needs, now)
			if load, ok := q.Next(now); ok {
				require.False(t, now.Before(blocked), "nothing starts while the store is rate-limited")
				require.Less(t, len(running), config.MaxParallel)
				for l, n := range pending {
					_, isRunning := running[l]
					require.True(t, isRunning || n.Missing <= pending[load].Missing || step > 0, "the most urgent transfer is first")
				}
				switch answer := rapid.IntRange(0, 3).Draw(t, "answer"); answer {
				case 0:
					blocked = now.Add(2 * time.Second)
					q.RateLimited(2*time.Second, now)
				case 1:
					q.Failed(load, now)
				default:
					q.Started(load, now)
					running[load] = now.Add(7 * time.Second)
				}
			}
			now = now.Add(time.Second)
			for load, until := range running {
				if !now.Before(until) {
					delete(running, load)
					delete(pending, load)
				}
			}
		}
	})
}

func ExampleQueue() {
	now := time.Date(2027, 1, 10, 5, 0, 0, 0, time.UTC)
	q := loader.NewQueue(loader.DefaultConfig())
	q.Reconcile([]loader.Need{
		{Load: loader.NewLoad("drafts", "7", "a"), Deadline: now.Add(time.Hour)},
		{Load: loader.NewLoad("pumice", "12", "b"), Missing: 2},
	}, now)
	load, _ := q.Next(now)
	fmt.Println(load.Service(), load.Version(), load.Instance())
	q.RateLimited(30*time.Second, now)
	_, ok := q.Next(now.Add(29 * time.Second))
	fmt.Println(ok)
	// Output:
	// pumice 12 b
	// false
}
