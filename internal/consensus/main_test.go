package consensus

import (
	"flag"
	"os"
	"testing"
)

// fixedSeed is the seed of the property tests unless -rapid.seed is given.
const fixedSeed = "4711"

func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		_ = flag.Set("rapid.seed", fixedSeed)
	}
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}
