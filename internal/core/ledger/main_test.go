package ledger

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed and the length of schedules, unless flags say other.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{
		"rapid.seed": "1", "rapid.checks": "10000", "rapid.steps": "60", "rapid.nofailfile": "true",
	} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
