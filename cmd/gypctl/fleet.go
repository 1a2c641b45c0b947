package main

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/gypsumlanding/gypsumlanding/internal/daem/life"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/report"
	"github.com/peterbourgon/ff/v3/ffcli"
)

const (
	// fleetTimeout is how long one process may take to answer.
	fleetTimeout = 2 * time.Second
	// fleetCalls is the number of processes that are asked at a time.
	fleetCalls = 32
)

// sight is what one process told, or why it did not.
type sight struct {
	Address string      `json:"address"` // of its metrics
	Doc     *report.Doc `json:"doc,omitempty"`
	Error   string      `json:"error,omitempty"`
}

// fleet shows the processes on the users' platform.
func (t *tool) fleet() *ffcli.Command {
	var at string
	fs := t.flags("fleet")
	fs.StringVar(&at, "at", "", "`address` of any entry's metrics, IP:port")
	return &ffcli.Command{
		Name:       "fleet",
		ShortUsage: "gypctl fleet -at IP:port",
		ShortHelp:  "shows the entries and nodes on the users' platform, and what is set aside and why",
		FlagSet:    fs,
		Exec: func(ctx context.Context, args []string) error {
			if len(args) > 0 || at == "" {
				return fail(life.ExitUsage, "want -at IP:port, the metrics address of an entry")
			}
			seen, err := survey(ctx, at)
			if err != nil {
				return err
			}
			return t.show(seen, func() { t.showFleet(seen) })
		},
	}
}

// survey asks the process at an address, and then all that it knows. These have
// their metrics at the same port.
func survey(ctx context.Context, at string) ([]sight, error) {
	_, port, err := net.SplitHostPort(at)
	if err != nil {
		return nil, fail(life.ExitUsage, "invalid address "+at)
	}
	first := look(ctx, at)
	if first.Doc == nil {
		return nil, merry.New(at + " did not tell its status: " + first.Error)
	}
	if first.Doc.Entry == nil {
		return []sight{first}, nil
	}
	others := slices.Clone(first.Doc.Entry.Entries)
	for _, g := range first.Doc.Entry.Gates {
		others = append(others, g.Address)
	}
	seen := make([]sight, len(others))
	turns := make(chan struct{}, fleetCalls)
	var wg sync.WaitGroup
	for i, addr := range others {
		wg.Add(1)
		turns <- struct{}{}
		go func() {
			defer wg.Done()
			seen[i] = look(ctx, sibling(addr, port))
			<-turns
		}()
	}
	wg.Wait()
	return append([]sight{first}, seen...), nil
}

// sibling returns the metrics address of the process that others call at addr.
func sibling(addr, port string) string {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return addr
	}
	return net.JoinHostPort(host, port)
}

// look asks one process for its status.
func look(ctx context.Context, addr string) sight {
	ctx, cancel := context.WithTimeout(ctx, fleetTimeout)
	defer cancel()
	s := sight{Address: addr}
	doc, err := status(ctx, addr)
	if err != nil {
		s.Error = err.Error()
		return s
	}
	s.Doc = doc
	return s
}

func status(ctx context.Context, addr string) (*report.Doc, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+report.StatusPath, nil)
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, merry.New("status " + resp.Status)
	}
	doc := &report.Doc{}
	return doc, merry.Prepend(json.NewDecoder(resp.Body).Decode(doc), "reading the status")
}

func (t *tool) showFleet(seen []sight) {
	var entries, nodes, lost []sight
	for _, s := range seen {
		switch {
		case s.Doc == nil:
			lost = append(lost, s)
		case s.Doc.Entry != nil:
			entries = append(entries, s)
		case s.Doc.Node != nil:
			nodes = append(nodes, s)
		}
	}
	t.table("ENTRY\tADDRESS\tUP\tREADY\tCONFIG\tIN FORCE FOR\tJOBS\tGATES\tUSABLE", len(entries), func(i int) []any {
		d := entries[i].Doc
		e := d.Entry
		return []any{d.Name, d.Address, report.FormatAge(d.Uptime), e.Ready, e.Version, report.FormatAge(e.ConfigAge), e.RunningJobs, len(e.Gates), usable(e)}
	})
	t.print("\n")
	t.table("NODE\tADDRESS\tUP\tTARGET\tSERVICE\tRUNNING\tQUEUED\tUSED\tOF\tSPEED\tASIDE\tLEAVING", len(nodes), func(i int) []any {
		d := nodes[i].Doc
		n := d.Node
		return []any{
			d.Name, d.Address, report.FormatAge(d.Uptime), cmp.Or(n.Target, "-"), cmp.Or(n.Service, "-"), n.Running, n.Queued,
			n.Used, n.CPU, fmt.Sprintf("%d%%", n.Speed), cmp.Or(n.Aside, "-"), n.Leaving,
		}
	})
	for _, s := range lost {
		t.print("%s does not answer: %s\n", s.Address, s.Error)
	}
}

// usable counts the gates that an entry would place tasks at.
func usable(e *report.EntryDoc) int {
	n := 0
	for _, g := range e.Gates {
		if g.Usable && g.Aside == "" {
			n++
		}
	}
	return n
}
