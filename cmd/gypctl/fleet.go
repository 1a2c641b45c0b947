package main

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/gypsumlanding/gypsumlanding/internal/daem/life"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/report"
	"github.com/peterbourgon/ff/v3/ffcli"
)

const (
	// statusTimeout is how long one process may take to answer.
	statusTimeout = 2 * time.Second
	// maxStatusCalls is the number of processes that are queried concurrently.
	maxStatusCalls = 32
)

// processStatus is the status that one process has reported, or the reason why there is
// none.
type processStatus struct {
	Address string      `json:"address"`         // where the process serves its metrics
	Doc     *report.Doc `json:"doc,omitempty"`   // nil if the process did not report its status
	Error   string      `json:"error,omitempty"` // why Doc is nil
}

// fleetCommand returns the command that shows the processes on the users' platform.
func (t *tool) fleetCommand() *ffcli.Command {
	var startAddr string
	fs := t.newFlagSet("fleet")
	fs.StringVar(&startAddr, "at", "", "`address` of any entry's metrics, IP:port")
	return &ffcli.Command{
		Name:       "fleet",
		ShortUsage: "gypctl fleet -at IP:port",
		ShortHelp:  "shows the entries and nodes on the users' platform, which targets are avoided, and why",
		FlagSet:    fs,
		Exec: func(ctx context.Context, args []string) error {
			if len(args) > 0 || startAddr == "" {
				return errorWithCode(life.ExitUsage, "want -at IP:port, the metrics address of an entry")
			}
			statuses, err := collectStatuses(ctx, startAddr)
			if err != nil {
				return err
			}
			return t.printResult(statuses, func() { t.printFleet(statuses) })
		},
	}
}

// collectStatuses returns the status of the process with the given metrics address,
// followed, if it is an entry, by those of all entries and nodes that it knows. All
// processes are expected to serve their metrics at the same port.
func collectStatuses(ctx context.Context, startAddr string) ([]processStatus, error) {
	_, port, err := net.SplitHostPort(startAddr)
	if err != nil {
		return nil, errorWithCode(life.ExitUsage, "invalid address "+startAddr)
	}
	first := queryStatus(ctx, startAddr)
	if first.Doc == nil {
		return nil, merry.New(startAddr + " did not report its status: " + first.Error)
	}
	if first.Doc.Entry == nil {
		return []processStatus{first}, nil
	}
	otherAddrs := slices.Clone(first.Doc.Entry.Entries)
	for _, g := range first.Doc.Entry.Gates {
		otherAddrs = append(otherAddrs, g.Address)
	}
	statuses := make([]processStatus, len(otherAddrs))
	semaphore := make(chan struct{}, maxStatusCalls)
	var wg sync.WaitGroup
	for i, addr := range otherAddrs {
		wg.Add(1)
		semaphore <- struct{}{}
		go func() {
			defer wg.Done()
			statuses[i] = queryStatus(ctx, replacePort(addr, port))
			<-semaphore
		}()
	}
	wg.Wait()
	return append([]processStatus{first}, statuses...), nil
}

// replacePort returns addr with another port, or addr itself if it is malformed.
func replacePort(addr, port string) string {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return addr
	}
	return net.JoinHostPort(host, port)
}

// queryStatus returns the status of the process with the given metrics address. An error
// becomes a part of the result.
func queryStatus(ctx context.Context, addr string) processStatus {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	s := processStatus{Address: addr}
	doc, err := fetchStatus(ctx, addr)
	if err != nil {
		s.Error = err.Error()
		return s
	}
	s.Doc = doc
	return s
}

// fetchStatus reads the status of the process with the given metrics address.
func fetchStatus(ctx context.Context, addr string) (*report.Doc, error) {
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

// printFleet prints a table of entries and one of nodes, and the processes that did not
// report their status.
func (t *tool) printFleet(statuses []processStatus) {
	var entries, nodes, unreachable []processStatus
	for _, s := range statuses {
		switch {
		case s.Doc == nil:
			unreachable = append(unreachable, s)
		case s.Doc.Entry != nil:
			entries = append(entries, s)
		case s.Doc.Node != nil:
			nodes = append(nodes, s)
		}
	}
	t.printTable("ENTRY\tADDRESS\tUP\tREADY\tCONFIG\tIN FORCE FOR\tJOBS\tGATES\tUSABLE\tEVACUATED", len(entries), func(i int) []any {
		d := entries[i].Doc
		e := d.Entry
		return []any{d.Name, d.Address, report.FormatAge(d.Uptime), e.Ready, e.Version, report.FormatAge(e.ConfigAge), e.RunningJobs, len(e.Gates), countUsableGates(e), cmp.Or(strings.Join(e.Evacuated, ","), "-")}
	})
	t.print("\n")
	t.printTable("NODE\tADDRESS\tUP\tTARGET\tSERVICE\tRUNNING\tQUEUED\tUSED\tOF\tSPEED\tASIDE\tLEAVING\tDOMAIN\tEVACUATED", len(nodes), func(i int) []any {
		d := nodes[i].Doc
		n := d.Node
		return []any{
			d.Name, d.Address, report.FormatAge(d.Uptime), cmp.Or(n.Target, "-"), cmp.Or(n.Service, "-"), n.Running, n.Queued,
			n.Used, n.CPU, fmt.Sprintf("%d%%", n.Speed), cmp.Or(n.Aside, "-"), n.Leaving, cmp.Or(n.Domain, "-"), n.Evacuated,
		}
	})
	t.printInterference(append(entries, nodes...))
	for _, s := range unreachable {
		t.print("%s does not answer: %s\n", s.Address, s.Error)
	}
}

// printInterference prints a table of the kinds of tasks that slow each other down, as each
// process knows them, if any does.
func (t *tool) printInterference(statuses []processStatus) {
	var rows [][]any
	for _, s := range statuses {
		var pairs []report.InterferenceDoc
		switch {
		case s.Doc.Entry != nil:
			pairs = s.Doc.Entry.Interference
		case s.Doc.Node != nil:
			pairs = s.Doc.Node.Interference
		}
		for _, p := range pairs {
			rows = append(rows, []any{s.Doc.Name, p.Service, p.Slowed, p.By, fmt.Sprintf("%d%%", p.Percent), p.Evidence})
		}
	}
	if len(rows) == 0 {
		return
	}
	t.print("\n")
	t.printTable("INTERFERENCE AT\tSERVICE\tSLOWED\tBY\tTO\tEVIDENCE", len(rows), func(i int) []any { return rows[i] })
}

// countUsableGates returns the number of gates to which an entry would send tasks.
func countUsableGates(e *report.EntryDoc) int {
	n := 0
	for _, g := range e.Gates {
		if g.Usable && g.Aside == "" && !g.Evacuated {
			n++
		}
	}
	return n
}
