package seed

import (
	"flag"
	"os"
	"strconv"
	"testing"
)

// shrinkTime limits how long the rapid library looks for a smaller case that fails.
const shrinkTime = "5s"

// Size is the size of the property-based tests of a package. A zero field keeps the
// default of the rapid library.
type Size struct {
	Checks int // number of cases per property
	Steps  int // average number of steps per schedule
}

// Main runs the tests of a package with seed 1 and the given size, and exits. It is to
// be called from TestMain. Flags of the rapid library on the command line take
// precedence.
func Main(m *testing.M, size Size) {
	setFlag("rapid.seed", "1")
	setFlag("rapid.nofailfile", "true")
	setFlag("rapid.shrinktime", shrinkTime)
	if size.Checks > 0 {
		setFlag("rapid.checks", strconv.Itoa(size.Checks))
	}
	if size.Steps > 0 {
		setFlag("rapid.steps", strconv.Itoa(size.Steps))
	}
	os.Exit(m.Run())
}

// setFlag sets the default of a command-line flag. It panics if there is no such flag.
func setFlag(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}
