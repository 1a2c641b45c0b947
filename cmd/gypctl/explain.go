package main

import (
	"context"
	"os"

	"github.com/gypsumlanding/gypsumlanding/internal/daem/life"
	"github.com/gypsumlanding/gypsumlanding/internal/daem/trail"
	"github.com/peterbourgon/ff/v3/ffcli"
)

// explain tells a request's story from log lines.
func (t *tool) explain() *ffcli.Command {
	return t.command("explain", "explain ID [FILE...]",
		"tells from collected log lines, or standard input, what became of a request", t.tellStory)
}

func (t *tool) tellStory(_ context.Context, args []string) error {
	if len(args) == 0 {
		return fail(life.ExitUsage, "want the ID of a job, and the files with log lines")
	}
	book := &trail.Timeline{Job: args[0]}
	if len(args) == 1 {
		if err := book.Read(os.Stdin); err != nil {
			return err
		}
	}
	for _, name := range args[1:] {
		if err := readLog(book, name); err != nil {
			return err
		}
	}
	story := book.Lines()
	if len(story) == 0 {
		return fail(exitNotFound, book.Outcome())
	}
	return t.show(story, func() { t.print("%s", book.Text()) })
}

func readLog(book *trail.Timeline, name string) error {
	f, err := os.Open(name)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	return book.Read(f)
}
