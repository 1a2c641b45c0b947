// Command gypnode runs beside a target: it is the gate to it and a home of jobs.
package main

import (
	"context"
	"os"

	"github.com/ansel1/merry/v2"
	"github.com/gypsumlanding/gypsumlanding/internal/daem/conf"
	"github.com/gypsumlanding/gypsumlanding/internal/daem/life"
	"github.com/gypsumlanding/gypsumlanding/internal/node"
)

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	merry.SetStackCaptureEnabled(false)
	var cfg node.Config
	set := conf.New("gypnode", os.Stderr)
	cfg.Declare(set)
	if code := life.ParseSettings(set, args, os.Stderr); code >= 0 {
		return code
	}
	return life.ExitCode(node.Run(context.Background(), cfg, os.Stderr), os.Stderr)
}
