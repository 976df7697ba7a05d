package keeper_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"hyssoprudder/internal/process/journaler"
	"hyssoprudder/internal/process/keeper"
)

func ExampleCore() {
	now := time.Unix(0, 0)
	core := keeper.NewCore(keeper.CoreConfig{
		State: journaler.State{Identity: "id-1"}, Now: now, Rand: rand.New(rand.NewPCG(1, 1)),
	})
	core.Create(now, "cluster", []keeper.Member{{ID: "id-1", Name: "a", Voter: true}})
	now = now.Add(2 * keeper.DefaultElectionTimeout)
	core.Tick(now)
	index, term, ok := core.Propose(now, [][]byte{[]byte("command")})
	fmt.Println("appended", index, term, ok)

	out := core.Take() // to be written and synced
	fmt.Println("to write", len(out.Entries), "committed", len(out.Committed))
	core.Persisted(now)
	out = core.Take()
	fmt.Println("to write", len(out.Entries), "committed", len(out.Committed))
	// Output:
	// appended 3 2 true
	// to write 3 committed 0
	// to write 0 committed 3
}
