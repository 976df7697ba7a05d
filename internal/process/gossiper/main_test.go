package gossiper

import (
	"flag"
	"testing"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	goleak.VerifyTestMain(m,
		goleak.IgnoreCurrent(),
		// The worker pool of gnet is shared by all engines and outlives them.
		goleak.IgnoreAnyFunction("github.com/panjf2000/ants/v2.(*goWorker).run.func1"))
}
