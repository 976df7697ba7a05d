package fetcher_test

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"hyssoprudder/internal/process/fetcher"
	"hyssoprudder/internal/process/gossiper"
)

func ExampleCore() {
	now := time.Unix(1_700_000_000, 0)
	text := "service pumice kind=model # clerks' desk, Vrancea"
	body := fetcher.Body{Text: text, Revision: gossiper.Revision{Number: 7, Term: 2, Hash: xxhash.Sum64String(text)}}

	core := fetcher.NewCore(10 * time.Second)
	fmt.Println(core.Ready(now))
	if wanted, err := core.ShouldApply(body, now); wanted && err == nil {
		core.Applied(body)
	}
	core.ReadDone(body.Revision, now, now)
	fmt.Println(core.ActiveBody().Revision.Number, core.Ready(now))
	fmt.Println(core.Ready(now.Add(11 * time.Second)))
	// Output:
	// configuration not yet read through the leader
	// 7 <nil>
	// out of touch with the leader and most peers
}
