// Command gypnode runs a node, which accompanies one target. A node is the gate
// that starts tasks at its target, and a home that keeps the state of jobs.
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
	settings := conf.New("gypnode", os.Stderr)
	cfg.Declare(settings)
	if code := life.ParseSettings(settings, args, os.Stderr); code >= 0 {
		return code
	}
	return life.ExitCode(node.Run(context.Background(), cfg, os.Stderr), os.Stderr)
}
