package storage_test

import (
	"flag"
	"os"
	"testing"
)

// fixedSeed makes property tests repeatable. It applies unless -rapid.seed is set.
const fixedSeed = "4711"

func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		_ = flag.Set("rapid.seed", fixedSeed)
	}
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}
