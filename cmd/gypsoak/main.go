// Command gypsoak plays the programs through failures drawn from seeds, and prints
// a line of JSON for each seed. It exits with 1 if a rule was broken.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/daem/life"
	"github.com/gypsumlanding/gypsumlanding/internal/stand/soak"
	"github.com/peterbourgon/ff/v3"
)

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	set := flag.NewFlagSet("gypsoak", flag.ContinueOnError)
	seed := set.Uint64("seed", 1, "first seed")
	seeds := set.Int("seeds", 1, "number of seeds, one after the other")
	minutes := set.Float64("minutes", 1, "minutes of failures for each seed")
	keep := set.String("keep", "", "`folder` for the logs of seeds that failed; empty keeps none")
	verbose := set.Bool("v", false, "print each failure as it begins")
	if err := ff.Parse(set, args); err != nil {
		return life.ExitUsage
	}
	code := life.ExitOK
	for i := range *seeds {
		ok, err := play(*seed+uint64(i), time.Duration(*minutes*float64(time.Minute)), *keep, *verbose)
		if err != nil {
			return life.ExitCode(err, os.Stderr)
		}
		if !ok {
			code = life.ExitFailed
		}
	}
	return code
}

// play plays one seed, and reports whether all rules were kept.
func play(seed uint64, lasts time.Duration, keep string, verbose bool) (bool, error) {
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
	p := soak.Config{Seed: seed, FailurePeriod: lasts, Dir: dir, Program: filepath.Join(filepath.Dir(exe), "gypsumlanding")}
	if verbose {
		p.Log = func(text string) { fmt.Fprintf(os.Stderr, "%8.3f %s\n", time.Since(start).Seconds(), text) }
	}
	r, err := soak.Run(p)
	if err != nil {
		return false, err
	}
	line, err := json.Marshal(r)
	if err != nil {
		return false, err
	}
	fmt.Println(string(line))
	if len(r.Verdict.Violations) == 0 {
		return true, nil
	}
	if keep != "" {
		return false, os.CopyFS(filepath.Join(keep, fmt.Sprint(seed)), os.DirFS(dir))
	}
	return false, nil
}
