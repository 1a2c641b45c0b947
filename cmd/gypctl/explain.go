package main

import (
	"context"
	"os"

	"github.com/gypsumlanding/gypsumlanding/internal/daem/life"
	"github.com/gypsumlanding/gypsumlanding/internal/daem/trail"
	"github.com/peterbourgon/ff/v3/ffcli"
)

// explainCommand returns the command that shows, from the log lines of all processes, how
// a job went.
func (t *tool) explainCommand() *ffcli.Command {
	return t.newCommand("explain", "explain ID [FILE...]",
		"shows how a request went, from log files or standard input", t.explainJob)
}

// explainJob prints what the log lines in the files, or on standard input if there are no
// files, say about the job that the first argument names.
func (t *tool) explainJob(_ context.Context, args []string) error {
	if len(args) == 0 {
		return errorWithCode(life.ExitUsage, "want the ID of a job and the log files")
	}
	jobTrail := &trail.Timeline{Job: args[0]}
	if len(args) == 1 {
		if err := jobTrail.Read(os.Stdin); err != nil {
			return err
		}
	}
	for _, name := range args[1:] {
		if err := readLog(jobTrail, name); err != nil {
			return err
		}
	}
	lines := jobTrail.Lines()
	if len(lines) == 0 {
		return errorWithCode(exitNotFound, jobTrail.Outcome())
	}
	return t.printResult(lines, func() { t.print("%s", jobTrail.Text()) })
}

// readLog adds the log lines in the named file to jobTrail.
func readLog(jobTrail *trail.Timeline, name string) error {
	f, err := os.Open(name)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	return jobTrail.Read(f)
}
