// Command gypctl lets operators edit the catalogue, drain nodes and see the
// state of a region. On the users' platform it shows what each process believes,
// and explains a request from log lines.
//
// It exits with 0 when done, 1 when it failed, 2 when called wrongly, 3 when
// somebody else changed the entry first, 4 when there is no such thing, and 5
// when nobody can tell yet whether an edit took effect.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"

	"github.com/gypsumlanding/gypsumlanding/internal/daem/conf"
	"github.com/gypsumlanding/gypsumlanding/internal/daem/life"
	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
)

// Exit codes beside those of all programs.
const (
	exitChanged  = 3
	exitNotFound = 4
	exitOpen     = 5
)

func main() {
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt)
	defer cancel()
	code := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	cancel()
	os.Exit(code)
}

// tool is what all commands share.
type tool struct {
	entry string // address of an entry
	json  bool
	out   io.Writer
	err   io.Writer
}

func run(ctx context.Context, args []string, out, errOut io.Writer) int {
	t := &tool{out: out, err: errOut}
	root := t.root()
	err := root.Parse(args)
	if errors.Is(err, flag.ErrHelp) {
		return life.ExitOK
	}
	if err != nil {
		_, _ = fmt.Fprintln(errOut, "gypctl:", err)
		return life.ExitUsage
	}
	err = root.Run(ctx)
	if errors.Is(err, flag.ErrHelp) {
		return life.ExitUsage
	}
	if err != nil {
		_, _ = fmt.Fprintln(errOut, "gypctl:", err)
	}
	return exitCode(err)
}

func (t *tool) root() *ffcli.Command {
	fs := t.flags("gypctl")
	fs.StringVar(&t.entry, "entry", "", "`address` of an entry, IP:port (or GYP_ENTRY)")
	return &ffcli.Command{
		Name:       "gypctl",
		ShortUsage: "gypctl -entry IP:port <command>",
		LongHelp:   "Edits the catalogue, drains nodes and shows the state of a region.\n\nExample:\n  gypctl -entry 127.0.0.1:8081 catalogue put -owner leistenwerk -class urgent -service dehnplan plan",
		FlagSet:    fs,
		Options:    []ff.Option{ff.WithEnvVarPrefix(conf.EnvPrefix)},
		Subcommands: []*ffcli.Command{
			t.catalogue(),
			t.status(),
			t.drain(),
			t.fleet(),
			t.explain(),
		},
		Exec: help,
	}
}

// flags returns a set with the flags that every command takes.
func (t *tool) flags(name string) *flag.FlagSet {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.SetOutput(t.err)
	fs.BoolVar(&t.json, "json", false, "print JSON")
	return fs
}

func help(context.Context, []string) error { return flag.ErrHelp }

// one returns the only argument of a command.
func one(args []string, what string) (string, error) {
	if len(args) != 1 {
		return "", fail(life.ExitUsage, "want one argument: "+what)
	}
	return args[0], nil
}
