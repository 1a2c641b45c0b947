// Command gypentry is an entry: it takes callers' jobs and operators' edits.
package main

import (
	"context"
	"os"

	"github.com/ansel1/merry/v2"
	"github.com/gypsumlanding/gypsumlanding/internal/daem/conf"
	"github.com/gypsumlanding/gypsumlanding/internal/daem/life"
	"github.com/gypsumlanding/gypsumlanding/internal/entry"
)

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	merry.SetStackCaptureEnabled(false)
	var cfg entry.Config
	set := conf.New("gypentry", os.Stderr)
	cfg.Declare(set)
	if code := life.ParseSettings(set, args, os.Stderr); code >= 0 {
		return code
	}
	return life.ExitCode(entry.Run(context.Background(), cfg, os.Stderr), os.Stderr)
}
