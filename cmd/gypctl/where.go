package main

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/gypsumlanding/gypsumlanding/internal/daem/life"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/report"
	"github.com/peterbourgon/ff/v3/ffcli"
)

// whereQuery holds the flags of the command "where".
type whereQuery struct {
	addr string // metrics address of an entry
	host string
	path string
	wait time.Duration // 0 if the caller does not say for how long it waits
}

// whereCommand returns the command that asks an entry where it would place a job.
func (t *tool) whereCommand() *ffcli.Command {
	q := &whereQuery{}
	fs := t.newFlagSet("where")
	q.addFlags(fs)
	return &ffcli.Command{
		Name:       "where",
		ShortUsage: "gypctl where -at IP:port -host HOST -path PATH [-wait DURATION] [-json] FILE",
		ShortHelp:  "asks an entry on the users' platform where it would place the job in FILE, and why, without submitting it",
		LongHelp:   "FILE holds the JSON body that a caller would send; - is standard input.",
		FlagSet:    fs,
		Exec: func(ctx context.Context, args []string) error {
			name, err := singleArg(args, "the file with the job, or - for standard input, after the flags")
			if err != nil {
				return err
			}
			if err := q.check(); err != nil {
				return err
			}
			job, err := readJob(name)
			if err != nil {
				return err
			}
			doc, err := q.send(ctx, job)
			if err != nil {
				return err
			}
			return t.printResult(doc, func() { t.printWhere(doc) })
		},
	}
}

func (q *whereQuery) addFlags(fs *flag.FlagSet) {
	fs.StringVar(&q.addr, "at", "", "`address` of the entry's metrics, IP:port")
	fs.StringVar(&q.host, "host", "", "`host` that the caller's request names")
	fs.StringVar(&q.path, "path", "", "`path` of the caller's request, with or without the job's ID")
	fs.DurationVar(&q.wait, "wait", 0, "how long the caller waits for the answer, such as 1500ms; 0 if it does not say")
}

// check returns an error if a flag is missing or invalid.
func (q *whereQuery) check() error {
	if q.addr == "" || q.host == "" || q.path == "" {
		return errorWithCode(life.ExitUsage, "want -at IP:port, the metrics address of an entry, -host HOST and -path PATH")
	}
	if _, _, err := net.SplitHostPort(q.addr); err != nil {
		return errorWithCode(life.ExitUsage, "invalid address "+q.addr)
	}
	if q.wait < 0 || q.wait%time.Millisecond != 0 {
		return errorWithCode(life.ExitUsage, "want a -wait of whole milliseconds, 0 or more")
	}
	return nil
}

// readJob returns the contents of the named file, or of standard input if the name is "-".
func readJob(name string) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(name)
}

// send sends the query and returns the answer. An answer that reports an error becomes an
// error with the exit code for its status.
func (q *whereQuery) send(ctx context.Context, job []byte) (*report.WhereDoc, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	params := url.Values{report.HostParam: {q.host}, report.PathParam: {q.path}}
	if q.wait > 0 {
		params.Set(report.WaitParam, strconv.FormatInt(q.wait.Milliseconds(), 10))
	}
	target := "http://" + q.addr + report.WherePath + "?" + params.Encode()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(job))
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, merry.Prepend(err, "the entry did not answer")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, whereError(resp)
	}
	doc := &report.WhereDoc{}
	return doc, merry.Prepend(json.NewDecoder(resp.Body).Decode(doc), "reading the answer")
}

// whereError returns the error for an answer with another status than 200.
func whereError(resp *http.Response) error {
	var doc report.ErrorDoc
	if err := json.NewDecoder(resp.Body).Decode(&doc); err != nil || doc.Error == "" {
		return errorWithCode(life.ExitFailed, "the process answered with status "+resp.Status+"; only entries answer, from the version on that has placement queries")
	}
	switch resp.StatusCode {
	case http.StatusNotFound:
		return errorWithCode(exitNotFound, doc.Error)
	case http.StatusBadRequest:
		return errorWithCode(life.ExitUsage, doc.Error)
	}
	return errorWithCode(life.ExitFailed, doc.Error)
}

// printWhere prints the decision on the job and, for each step, the decision and a table of
// the gates.
func (t *tool) printWhere(d *report.WhereDoc) {
	t.print("entry %s, configuration %d: route %s, service %s, priority %d\n", d.Entry, d.Version, d.Route, d.Service, d.Priority)
	t.print("job: %s\n", describeAdmission(d.AdmissionDoc))
	if d.Refused == "" {
		t.print("job: refused if none of its tasks has started within %s\n", report.FormatAge(max(0, d.RefusedAfter)))
	}
	for i, s := range d.Steps {
		t.print("\nstep %d: %s\n", i, describeAdmission(s.AdmissionDoc))
		t.print("step %d: %s\n", i, describeWait(s))
		if s.Candidates == 0 {
			t.print("step %d: no gate may run its tasks at present; they wait until one may\n", i)
		}
		t.printTable("PLACED\tGATE\tTARGET\tWAIT\tRUN\tEND\tUSED\tOF\tQUEUED\tSPEED\tANSWERED\tAGAINST", len(s.Gates), func(i int) []any {
			return whereRow(s.Gates[i])
		})
	}
}

// describeAdmission returns a decision in words.
func describeAdmission(a report.AdmissionDoc) string {
	switch {
	case a.Refused == "":
		return "admitted"
	case a.RetryLatest == 0:
		return fmt.Sprintf("refused (%s), without a time to retry", a.Refused)
	case a.RetryEarliest == a.RetryLatest:
		return fmt.Sprintf("refused (%s), retry in %s", a.Refused, report.FormatAge(a.RetryEarliest))
	}
	return fmt.Sprintf("refused (%s), retry in %s to %s", a.Refused, report.FormatAge(a.RetryEarliest), report.FormatAge(a.RetryLatest))
}

// describeWait returns in words what the admission of a step depends on.
func describeWait(s report.StepDoc) string {
	text := fmt.Sprintf("runs for %s at 100%%, expected wait %s", report.FormatAge(s.ExpectedRunTime), report.FormatAge(s.ExpectedWait))
	if len(s.DependsOn) > 0 {
		text += fmt.Sprintf(" (any is accepted, after steps %v)", s.DependsOn)
	} else {
		text += fmt.Sprintf(" of at most %s", report.FormatAge(s.MaxWait))
	}
	return text + fmt.Sprintf(", slack %s, %d gates usable", time.Duration(s.Slack)*time.Millisecond, s.Usable)
}

// whereRow returns the cells of a gate's row.
func whereRow(g report.WhereGateDoc) []any {
	wait, run, end := "-", "-", "-"
	if g.Fits {
		wait, run, end = report.FormatAge(g.Wait), report.FormatAge(g.RunTime), report.FormatAge(g.Finish)
	}
	against := strings.Join(g.Against, "; ")
	if g.IgnoreBreaker {
		against += " (ignored, since too many are open)"
	}
	return []any{
		whereMark(g), g.Address, cmp.Or(g.Target, "-"), wait, run, end, g.Used, g.CPU, g.Queued,
		fmt.Sprintf("%d%%", g.Speed), report.FormatAge(g.AnswerAge), cmp.Or(against, "-"),
	}
}

// whereMark returns whether the first task would be placed at a gate, or could be.
func whereMark(g report.WhereGateDoc) string {
	switch {
	case g.Chosen:
		return "here"
	case g.Candidate && g.Fits:
		return "possible"
	}
	return "no"
}
