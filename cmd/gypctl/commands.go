package main

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"text/tabwriter"

	"github.com/gypsumlanding/gypsumlanding/internal/entry/web"
	"github.com/peterbourgon/ff/v3/ffcli"
)

func (t *tool) catalogueCommand() *ffcli.Command {
	return &ffcli.Command{
		Name:       "catalogue",
		ShortUsage: "gypctl catalogue <list|get|put|delete|history>",
		ShortHelp:  "reads and edits the catalogue",
		FlagSet:    t.newFlagSet("catalogue"),
		Subcommands: []*ffcli.Command{
			t.newCommand("list", "list", "lists all entries", t.listEntries),
			t.newCommand("get", "get NAME", "shows one entry and its version", t.getEntry),
			t.putCommand(),
			t.deleteCommand(),
			t.newCommand("history", "history", "lists all edits, the oldest first", t.showHistory),
		},
		Exec: showUsage,
	}
}

// newCommand returns a command without flags other than those that every command has.
func (t *tool) newCommand(name, usage, short string, exec func(context.Context, []string) error) *ffcli.Command {
	return &ffcli.Command{
		Name:       name,
		ShortUsage: "gypctl " + usage,
		ShortHelp:  short,
		FlagSet:    t.newFlagSet(name),
		Exec:       exec,
	}
}

func (t *tool) listEntries(ctx context.Context, _ []string) error {
	var doc web.CatalogueDoc
	if err := t.call(ctx, http.MethodGet, "/v1/catalogue", nil, &doc); err != nil {
		return err
	}
	return t.printResult(doc, func() { t.printEntries(doc.Entries) })
}

func (t *tool) getEntry(ctx context.Context, args []string) error {
	name, err := singleArg(args, "the entry's name")
	if err != nil {
		return err
	}
	var doc web.EntryDoc
	if err := t.call(ctx, http.MethodGet, "/v1/catalogue/"+name, nil, &doc); err != nil {
		return err
	}
	return t.printResult(doc, func() { t.printEntries([]web.EntryDoc{doc}) })
}

func (t *tool) putCommand() *ffcli.Command {
	var doc web.EntryDoc
	fs := t.newFlagSet("put")
	fs.StringVar(&doc.Owner, "owner", "", "owner of the entry")
	fs.StringVar(&doc.Class, "class", "normal", "urgent, normal or batch")
	fs.StringVar(&doc.Service, "service", "", "service that runs the tasks")
	fs.IntVar(&doc.Limits.Tasks, "tasks", 0, "maximum number of tasks in a job; 0 means 300")
	fs.IntVar(&doc.Limits.Running, "running", 0, "maximum number of tasks running at a time; 0 means no limit")
	fs.IntVar(&doc.Limits.Rate, "rate", 0, "maximum number of task starts per second; 0 means no limit")
	fs.Int64Var(&doc.Limits.Timeout, "timeout", 0, "maximum timeout that a job may request, in ms; 0 means 60000")
	fs.Uint64Var(&doc.Version, "version", 0, "version of the entry as read; 0 for a new entry")
	return &ffcli.Command{
		Name:       "put",
		ShortUsage: "gypctl catalogue put [flags] NAME",
		ShortHelp:  "creates or replaces an entry",
		FlagSet:    fs,
		Exec: func(ctx context.Context, args []string) error {
			name, err := singleArg(args, "the entry's name, after the flags")
			if err != nil {
				return err
			}
			doc.Name = name
			var saved web.EntryDoc
			if err := t.call(ctx, http.MethodPut, "/v1/catalogue/"+name, doc, &saved); err != nil {
				return err
			}
			return t.printResult(saved, func() { t.printEntries([]web.EntryDoc{saved}) })
		},
	}
}

func (t *tool) deleteCommand() *ffcli.Command {
	var version uint64
	fs := t.newFlagSet("delete")
	fs.Uint64Var(&version, "version", 0, "version of the entry as read")
	return &ffcli.Command{
		Name:       "delete",
		ShortUsage: "gypctl catalogue delete -version N NAME",
		ShortHelp:  "deletes an entry; running jobs continue",
		FlagSet:    fs,
		Exec: func(ctx context.Context, args []string) error {
			name, err := singleArg(args, "the entry's name, after the flags")
			if err != nil {
				return err
			}
			var deleted web.EntryDoc
			path := "/v1/catalogue/" + name + "?version=" + strconv.FormatUint(version, 10)
			if err := t.call(ctx, http.MethodDelete, path, nil, &deleted); err != nil {
				return err
			}
			return t.printResult(deleted, func() { t.print("deleted %s at version %d\n", name, deleted.Version) })
		},
	}
}

func (t *tool) showHistory(ctx context.Context, _ []string) error {
	var doc web.HistoryDoc
	if err := t.call(ctx, http.MethodGet, "/v1/history", nil, &doc); err != nil {
		return err
	}
	return t.printResult(doc, func() {
		t.printTable("VERSION\tTIME\tENTRY\tOWNER\tDELETED", len(doc.Edits), func(i int) []any {
			e := doc.Edits[i]
			return []any{e.Entry.Version, e.Time, e.Entry.Name, e.Entry.Owner, e.Entry.Deleted}
		})
	})
}

func (t *tool) statusCommand() *ffcli.Command {
	return t.newCommand("status", "status", "shows the nodes and the active versions at an entry",
		func(ctx context.Context, _ []string) error {
			var doc web.StatusDoc
			if err := t.call(ctx, http.MethodGet, "/v1/status", nil, &doc); err != nil {
				return err
			}
			return t.printResult(doc, func() { t.printStatus(doc) })
		})
}

func (t *tool) printStatus(doc web.StatusDoc) {
	t.print("entry %s, region %s: epoch %d (confirmed: %t), catalogue %d, %d shards\n",
		doc.Entry, doc.Region, doc.Epoch, doc.Fresh, doc.Catalogue, doc.Shards)
	t.printTable("NODE\tDOMAIN\tADDRESS\tSERVICE\tSLOTS\tSHARDS\tLEAVING", len(doc.Nodes), func(i int) []any {
		n := doc.Nodes[i]
		return []any{n.ID, n.Domain, n.Addr, n.Service, n.Slots, n.Shards, n.Leaving}
	})
}

func (t *tool) drainCommand() *ffcli.Command {
	return t.newCommand("drain", "drain NODE", "makes a node accept no new work and hand over its shards",
		func(ctx context.Context, args []string) error {
			name, err := singleArg(args, "the node's name")
			if err != nil {
				return err
			}
			var doc web.NodeDoc
			if err := t.call(ctx, http.MethodPost, "/v1/drain/"+name, nil, &doc); err != nil {
				return err
			}
			return t.printResult(doc, func() { t.print("draining %s; gypctl status shows its progress\n", name) })
		})
}

func (t *tool) printEntries(list []web.EntryDoc) {
	t.printTable("NAME\tOWNER\tCLASS\tSERVICE\tTASKS\tRUNNING\tRATE\tTIMEOUT\tVERSION", len(list), func(i int) []any {
		e := list[i]
		l := e.Limits
		return []any{e.Name, e.Owner, e.Class, e.Service, l.Tasks, l.Running, l.Rate, l.Timeout, e.Version}
	})
}

// printTable prints a header, whose columns are separated by tabs, and n rows in aligned
// columns. The function row returns the cells of row i.
func (t *tool) printTable(header string, n int, row func(i int) []any) {
	w := tabwriter.NewWriter(t.stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, header)
	for i := range n {
		for j, cell := range row(i) {
			if j > 0 {
				_, _ = fmt.Fprint(w, "\t")
			}
			_, _ = fmt.Fprint(w, cell)
		}
		_, _ = fmt.Fprintln(w)
	}
	_ = w.Flush()
}

// print writes formatted text to standard output. Write errors are ignored.
func (t *tool) print(format string, args ...any) { _, _ = fmt.Fprintf(t.stdout, format, args...) }
