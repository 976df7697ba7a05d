package reserver_test

import (
	"flag"
	"os"
	"testing"

	_ "pgregory.net/rapid" // defines the rapid.seed flag
)

func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
