package seed

import (
	"flag"
	"os"
	"strconv"
	"testing"
)

// shrinkTime is how long a schedule that fails is made smaller.
const shrinkTime = "5s"

// Size is the extent of a package's properties. A zero field keeps the default
// of the rapid library.
type Size struct {
	Checks int // cases of each property
	Steps  int // steps of each schedule
}

// Main runs a package's tests with seed 1 and the given size, and ends the
// process. Flags on the command line go before it.
func Main(m *testing.M, size Size) {
	set("rapid.seed", "1")
	set("rapid.nofailfile", "true")
	set("rapid.shrinktime", shrinkTime)
	if size.Checks > 0 {
		set("rapid.checks", strconv.Itoa(size.Checks))
	}
	if size.Steps > 0 {
		set("rapid.steps", strconv.Itoa(size.Steps))
	}
	os.Exit(m.Run())
}

func set(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}
