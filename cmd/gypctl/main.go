// Command gypctl lets operators edit the catalogue, drain nodes and see the
// state of a region. On the users' platform it shows the state that each process
// reports, asks an entry where it would place a job, and explains from log lines how a
// request went.
//
// It exits with 0 after success, 1 after a failure, 2 if its arguments are
// invalid, 3 if the entry has been changed since the given version, 4 if the
// entry, node, request or route does not exist, and 5 if it is not yet known whether an
// edit took effect.
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

// Exit codes that only gypctl has, beside those of package life.
const (
	exitConflict = 3 // the catalogue entry has been changed since the given version
	exitNotFound = 4 // there is no such entry, node, request or route
	exitInDoubt  = 5 // it is not yet known whether the edit took effect
)

func main() {
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt)
	defer cancel()
	code := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	cancel()
	os.Exit(code)
}

// tool holds the flags and output streams that all commands share.
type tool struct {
	entryAddr  string // address of an entry
	jsonOutput bool   // print results as JSON
	stdout     io.Writer
	stderr     io.Writer
}

func run(ctx context.Context, args []string, out, errOut io.Writer) int {
	t := &tool{stdout: out, stderr: errOut}
	root := t.rootCommand()
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

func (t *tool) rootCommand() *ffcli.Command {
	fs := t.newFlagSet("gypctl")
	fs.StringVar(&t.entryAddr, "entry", "", "`address` of an entry, IP:port (or GYP_ENTRY)")
	return &ffcli.Command{
		Name:       "gypctl",
		ShortUsage: "gypctl -entry IP:port <command>",
		LongHelp:   "Edits the catalogue, drains nodes and shows the state of a region.\n\nExample:\n  gypctl -entry 127.0.0.1:8081 catalogue put -owner leistenwerk -class urgent -service dehnplan plan",
		FlagSet:    fs,
		Options:    []ff.Option{ff.WithEnvVarPrefix(conf.EnvPrefix)},
		Subcommands: []*ffcli.Command{
			t.catalogueCommand(),
			t.statusCommand(),
			t.drainCommand(),
			t.fleetCommand(),
			t.whereCommand(),
			t.explainCommand(),
		},
		Exec: showUsage,
	}
}

// newFlagSet returns a flag set for the named command, with the flags that every command
// has.
func (t *tool) newFlagSet(name string) *flag.FlagSet {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.SetOutput(t.stderr)
	fs.BoolVar(&t.jsonOutput, "json", false, "print JSON")
	return fs
}

// showUsage makes a command without arguments print its usage.
func showUsage(context.Context, []string) error { return flag.ErrHelp }

// singleArg returns the only argument of a command, or an error that contains its
// description if there is none or more than one.
func singleArg(args []string, description string) (string, error) {
	if len(args) != 1 {
		return "", errorWithCode(life.ExitUsage, "want one argument: "+description)
	}
	return args[0], nil
}
