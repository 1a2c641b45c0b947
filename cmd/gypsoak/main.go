// Command gypsoak runs the programs under failures drawn from seeds, and prints a
// line of JSON for each seed. It exits with 1 if a rule was violated.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/daem/life"
	"github.com/gypsumlanding/gypsumlanding/internal/stand/psim"
	"github.com/gypsumlanding/gypsumlanding/internal/stand/soak"
	"github.com/peterbourgon/ff/v3"
)

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	flags := flag.NewFlagSet("gypsoak", flag.ContinueOnError)
	seed := flags.Uint64("seed", 1, "first seed")
	seeds := flags.Int("seeds", 1, "number of consecutive seeds to run")
	minutes := flags.Float64("minutes", 1, "minutes of failures for each seed")
	entries := flags.Int("entries", 0, "number of entries; 0 for the default")
	nodes := flags.Int("nodes", 0, "number of nodes; 0 for the default")
	atOnce := flags.Int("atonce", 0, "number of failures in progress at once; 0 for the default, which rises with the nodes")
	keepDir := flags.String("keep", "", "`folder` for the logs of seeds that failed; empty keeps none")
	verbose := flags.Bool("v", false, "print each failure when it begins")
	if err := ff.Parse(flags, args); err != nil {
		return life.ExitUsage
	}
	if min(*entries, *nodes, *atOnce) < 0 || *entries > psim.MaxEntries || *nodes > psim.MaxNodes {
		fmt.Fprintf(os.Stderr, "gypsoak: want at most %d entries and %d nodes, and no negative number\n", psim.MaxEntries, psim.MaxNodes)
		return life.ExitUsage
	}
	cfg := soak.Config{FailurePeriod: time.Duration(*minutes * float64(time.Minute)), Entries: *entries, Nodes: *nodes, AtOnce: *atOnce}
	code := life.ExitOK
	for i := range *seeds {
		cfg.Seed = *seed + uint64(i)
		ok, err := runSeed(cfg, *keepDir, *verbose)
		if err != nil {
			return life.ExitCode(err, os.Stderr)
		}
		if !ok {
			code = life.ExitFailed
		}
	}
	return code
}

// runSeed runs the programs under the failures of the seed of cfg, and reports whether no rule
// was violated. If one was and keepDir is not empty, it copies
// the files of the run, among them the logs, to the subfolder of keepDir named after the
// seed.
func runSeed(cfg soak.Config, keepDir string, verbose bool) (bool, error) {
	dir, err := os.MkdirTemp("", "gypsoak")
	if err != nil {
		return false, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	exe, err := os.Executable()
	if err != nil {
		return false, err
	}
	start := time.Now()
	cfg.Dir, cfg.Program = dir, filepath.Join(filepath.Dir(exe), "gypsumlanding")
	if verbose {
		cfg.Log = func(text string) { fmt.Fprintf(os.Stderr, "%8.3f %s\n", time.Since(start).Seconds(), text) }
	}
	result, err := soak.Run(cfg)
	if err != nil {
		return false, err
	}
	line, err := json.Marshal(result)
	if err != nil {
		return false, err
	}
	fmt.Println(string(line))
	if len(result.Verdict.Violations) == 0 {
		return true, nil
	}
	if keepDir != "" {
		return false, os.CopyFS(filepath.Join(keepDir, fmt.Sprint(cfg.Seed)), os.DirFS(dir))
	}
	return false, nil
}
