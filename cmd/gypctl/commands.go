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

func (t *tool) catalogue() *ffcli.Command {
	return &ffcli.Command{
		Name:       "catalogue",
		ShortUsage: "gypctl catalogue <list|get|put|delete|history>",
		ShortHelp:  "reads and edits the catalogue",
		FlagSet:    t.flags("catalogue"),
		Subcommands: []*ffcli.Command{
			t.command("list", "list", "lists all entries", t.list),
			t.command("get", "get NAME", "shows one entry and its version", t.get),
			t.put(),
			t.remove(),
			t.command("history", "history", "lists all edits, the oldest first", t.history),
		},
		Exec: help,
	}
}

func (t *tool) command(name, usage, short string, exec func(context.Context, []string) error) *ffcli.Command {
	return &ffcli.Command{
		Name:       name,
		ShortUsage: "gypctl " + usage,
		ShortHelp:  short,
		FlagSet:    t.flags(name),
		Exec:       exec,
	}
}

func (t *tool) list(ctx context.Context, _ []string) error {
	var doc web.CatalogueDoc
	if err := t.call(ctx, http.MethodGet, "/v1/catalogue", nil, &doc); err != nil {
		return err
	}
	return t.show(doc, func() { t.entries(doc.Entries) })
}

func (t *tool) get(ctx context.Context, args []string) error {
	name, err := one(args, "the entry's name")
	if err != nil {
		return err
	}
	var doc web.EntryDoc
	if err := t.call(ctx, http.MethodGet, "/v1/catalogue/"+name, nil, &doc); err != nil {
		return err
	}
	return t.show(doc, func() { t.entries([]web.EntryDoc{doc}) })
}

func (t *tool) put() *ffcli.Command {
	var doc web.EntryDoc
	fs := t.flags("put")
	fs.StringVar(&doc.Owner, "owner", "", "owner of the entry")
	fs.StringVar(&doc.Class, "class", "normal", "urgent, normal or batch")
	fs.StringVar(&doc.Service, "service", "", "service that runs the tasks")
	fs.IntVar(&doc.Limits.Tasks, "tasks", 0, "tasks a job may have; 0 means 300")
	fs.IntVar(&doc.Limits.Running, "running", 0, "tasks running at a time; 0 means no limit")
	fs.IntVar(&doc.Limits.Rate, "rate", 0, "task starts a second; 0 means no limit")
	fs.Int64Var(&doc.Limits.Timeout, "timeout", 0, "longest time of a job, ms; 0 means 60000")
	fs.Uint64Var(&doc.Version, "version", 0, "version that you read; 0 for a new entry")
	return &ffcli.Command{
		Name:       "put",
		ShortUsage: "gypctl catalogue put [flags] NAME",
		ShortHelp:  "creates or replaces an entry",
		FlagSet:    fs,
		Exec: func(ctx context.Context, args []string) error {
			name, err := one(args, "the entry's name, after the flags")
			if err != nil {
				return err
			}
			doc.Name = name
			var done web.EntryDoc
			if err := t.call(ctx, http.MethodPut, "/v1/catalogue/"+name, doc, &done); err != nil {
				return err
			}
			return t.show(done, func() { t.entries([]web.EntryDoc{done}) })
		},
	}
}

func (t *tool) remove() *ffcli.Command {
	var version uint64
	fs := t.flags("delete")
	fs.Uint64Var(&version, "version", 0, "version that you read")
	return &ffcli.Command{
		Name:       "delete",
		ShortUsage: "gypctl catalogue delete -version N NAME",
		ShortHelp:  "deletes an entry; work in progress goes on",
		FlagSet:    fs,
		Exec: func(ctx context.Context, args []string) error {
			name, err := one(args, "the entry's name, after the flags")
			if err != nil {
				return err
			}
			var done web.EntryDoc
			path := "/v1/catalogue/" + name + "?version=" + strconv.FormatUint(version, 10)
			if err := t.call(ctx, http.MethodDelete, path, nil, &done); err != nil {
				return err
			}
			return t.show(done, func() { t.print("deleted %s at version %d\n", name, done.Version) })
		},
	}
}

func (t *tool) history(ctx context.Context, _ []string) error {
	var doc web.HistoryDoc
	if err := t.call(ctx, http.MethodGet, "/v1/history", nil, &doc); err != nil {
		return err
	}
	return t.show(doc, func() {
		t.table("VERSION\tTIME\tENTRY\tOWNER\tDELETED", len(doc.Edits), func(i int) []any {
			e := doc.Edits[i]
			return []any{e.Entry.Version, e.Time, e.Entry.Name, e.Entry.Owner, e.Entry.Deleted}
		})
	})
}

func (t *tool) status() *ffcli.Command {
	return t.command("status", "status", "shows the nodes and the versions in force at an entry",
		func(ctx context.Context, _ []string) error {
			var doc web.StatusDoc
			if err := t.call(ctx, http.MethodGet, "/v1/status", nil, &doc); err != nil {
				return err
			}
			return t.show(doc, func() { t.showStatus(doc) })
		})
}

func (t *tool) showStatus(doc web.StatusDoc) {
	t.print("entry %s, region %s: epoch %d (confirmed: %t), catalogue %d, %d shards\n",
		doc.Entry, doc.Region, doc.Epoch, doc.Fresh, doc.Catalogue, doc.Shards)
	t.table("NODE\tDOMAIN\tADDRESS\tSERVICE\tSLOTS\tSHARDS\tLEAVING", len(doc.Nodes), func(i int) []any {
		n := doc.Nodes[i]
		return []any{n.ID, n.Domain, n.Addr, n.Service, n.Slots, n.Shards, n.Leaving}
	})
}

func (t *tool) drain() *ffcli.Command {
	return t.command("drain", "drain NODE", "has a node take no new work and hand over its shards",
		func(ctx context.Context, args []string) error {
			name, err := one(args, "the node's name")
			if err != nil {
				return err
			}
			var doc web.NodeDoc
			if err := t.call(ctx, http.MethodPost, "/v1/drain/"+name, nil, &doc); err != nil {
				return err
			}
			return t.show(doc, func() { t.print("draining %s; gypctl status shows its progress\n", name) })
		})
}

func (t *tool) entries(list []web.EntryDoc) {
	t.table("NAME\tOWNER\tCLASS\tSERVICE\tTASKS\tRUNNING\tRATE\tTIMEOUT\tVERSION", len(list), func(i int) []any {
		e := list[i]
		l := e.Limits
		return []any{e.Name, e.Owner, e.Class, e.Service, l.Tasks, l.Running, l.Rate, l.Timeout, e.Version}
	})
}

// table prints a head and n rows in columns.
func (t *tool) table(head string, n int, row func(i int) []any) {
	w := tabwriter.NewWriter(t.out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, head)
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

func (t *tool) print(format string, args ...any) { _, _ = fmt.Fprintf(t.out, format, args...) }
