package test

import (
	"fmt"
	"path/filepath"
	"testing"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/stand/soak"
)

// soakTime is how long failures begin in the short soak.
const soakTime = 10 * time.Second

// soakSeeds are played by every run of the tests: one, and those that ever
// failed, with what the cause was.
var soakSeeds = []struct {
	seed  uint64
	cause string
}{
	{1, "none failed"},
}

// TestSoak plays the programs through failures drawn from a seed.
func TestSoak(t *testing.T) {
	for _, tt := range soakSeeds {
		t.Run(fmt.Sprint(tt.seed), func(t *testing.T) {
			t.Parallel()
			r, err := soak.Run(soak.Config{
				Seed: tt.seed, FailurePeriod: soakTime, Dir: t.TempDir(), Program: filepath.Join(bin, "gypsumlanding"),
				Log: func(text string) { t.Log(text) },
			})
			if err != nil {
				t.Fatal(err)
			}
			t.Log(r)
			if len(r.Verdict.Violations) > 0 {
				t.Errorf("%d faults", len(r.Verdict.Violations))
			}
			if r.Verdict.Done == 0 {
				t.Error("no job was done")
			}
		})
	}
}
