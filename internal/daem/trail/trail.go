package trail

import (
	"bufio"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/go-logfmt/logfmt"
)

const (
	mostLine = 1 << 20 // bytes of a line
	// before and after a request's lines, changes of state belong to its story.
	before = time.Second
	after  = 2 * time.Second
	// lineStart is what a line of the system's processes begins with; what stands
	// before it was put there by whoever collected the lines.
	lineStart = "prog="
)

// Names of pairs that every line has, and of those that name a request.
const (
	processKey = "id"
	timeKey    = "ts"
	eventKey   = "event"
	jobKey     = "job"
	taskKey    = "task"
)

// Pair is one "key=value" of a line.
type Pair struct{ Key, Value string }

// Line is one line of a process.
type Line struct {
	Time    time.Time
	Process string
	Event   string
	Pairs   []Pair // the others, in order
}

// Get returns the value of a pair, or nothing.
func (l Line) Get(key string) string {
	for _, p := range l.Pairs {
		if p.Key == key {
			return p.Value
		}
	}
	return ""
}

// about tells whether l is about the job with this ID.
func (l Line) about(job string) bool {
	return l.Get(jobKey) == job || strings.HasPrefix(l.Get(taskKey), job+".")
}

// decidedBy are changes of state that name the job that decided them.
var decidedBy = map[string]bool{"target_aside": true, "target_back": true}

// ofRequest tells whether l is about a request, and not a change of state.
func (l Line) ofRequest() bool { return l.Get(jobKey) != "" && !decidedBy[l.Event] }

// Book is lines of one request, and changes of state that may have touched it.
// The zero value is for no request.
type Timeline struct {
	Job    string
	lines  []Line
	states []Line
}

// Read takes in log lines. Lines that are not of the system's processes are
// passed over.
func (b *Timeline) Read(r io.Reader) error {
	scan := bufio.NewScanner(r)
	scan.Buffer(make([]byte, 0, 64<<10), mostLine)
	for scan.Scan() {
		l, ok := parse(scan.Text())
		switch {
		case !ok:
		case !l.ofRequest():
			b.states = append(b.states, l)
		case l.about(b.Job):
			b.lines = append(b.lines, l)
		}
	}
	return merry.Prepend(scan.Err(), "reading log lines")
}

// parse reads one line.
func parse(text string) (Line, bool) {
	at := strings.Index(text, lineStart)
	if at < 0 {
		return Line{}, false
	}
	var l Line
	d := logfmt.NewDecoder(strings.NewReader(text[at:]))
	if !d.ScanRecord() {
		return Line{}, false
	}
	for d.ScanKeyval() {
		value := string(d.Value())
		switch string(d.Key()) {
		case processKey:
			l.Process = value
		case timeKey:
			t, err := time.Parse(time.RFC3339Nano, value)
			if err != nil {
				return Line{}, false
			}
			l.Time = t
		case eventKey:
			l.Event = value
		default:
			l.Pairs = append(l.Pairs, Pair{string(d.Key()), value})
		}
	}
	return l, d.Err() == nil && l.Event != "" && !l.Time.IsZero()
}

// Story returns the request's lines in order, and between them the changes of
// state of the processes, targets and gates that they name.
func (b *Timeline) Lines() []Line {
	if len(b.lines) == 0 {
		return nil
	}
	story := slices.Clone(b.lines)
	slices.SortStableFunc(story, byTime)
	from, to := story[0].Time.Add(-before), story[len(story)-1].Time.Add(after)
	names := b.names()
	for _, l := range b.states {
		if l.Time.After(from) && l.Time.Before(to) && l.touches(names) {
			story = append(story, l)
		}
	}
	slices.SortStableFunc(story, byTime)
	return story
}

func byTime(a, b Line) int { return a.Time.Compare(b.Time) }

// named are the pairs of a line that name a process or a target.
var named = []string{"target", "gate", "entry"}

// names returns the processes and targets that the request's lines name.
func (b *Timeline) names() map[string]bool {
	names := map[string]bool{}
	for _, l := range b.lines {
		names[l.Process] = true
		for _, key := range named {
			names[l.Get(key)] = true
		}
	}
	delete(names, "")
	return names
}

// quiet are changes of state that come at their time and tell nothing of a
// request.
var quiet = map[string]bool{"load": true, "sender": true, "registered": true}

// touches tells whether l is about one of names.
func (l Line) touches(names map[string]bool) bool {
	if quiet[l.Event] {
		return false
	}
	if names[l.Process] {
		return l.Get("target") == "" && l.Get("gate") == "" || names[l.Get("target")] || names[l.Get("gate")]
	}
	return slices.ContainsFunc(named, func(key string) bool { return names[l.Get(key)] })
}

// Verdict returns one sentence on how the request ended, as its lines tell.
func (b *Timeline) Outcome() string {
	story := b.Lines()
	if len(story) == 0 {
		return "no line names this request: it reached no entry whose lines are here, or the lines were dropped (log_dropped)"
	}
	for _, l := range slices.Backward(story) {
		if l.Event == "job" {
			return fmt.Sprintf("%s ended it as %s%s after %s ms with %s tasks placed again",
				l.Process, l.Get("state"), because(l), l.Get("ms"), l.Get("retries"))
		}
		if l.Event == "request_refused" && l.about(b.Job) {
			return fmt.Sprintf("%s refused it with status %s%s", l.Process, l.Get("status"), because(l))
		}
	}
	entry := ""
	for _, l := range story {
		if l.Event == "step_admitted" {
			entry = l.Process
		}
		if l.Event == "started" && l.Process == entry {
			return fmt.Sprintf("lost with the process: %s took it, and started again at %s", entry, l.Time.Format(timeFormat))
		}
	}
	return "no entry tells its end: the entry died with it, or its last lines were not collected"
}

func because(l Line) string {
	if reason := l.Get("reason"); reason != "" {
		return " (" + reason + ")"
	}
	return ""
}

const timeFormat = "15:04:05.000"

// Text returns the story, a line each, and the verdict. Changes of state are
// marked with an asterisk.
func (b *Timeline) Text() string {
	var w strings.Builder
	story := b.Lines()
	for _, l := range story {
		var pairs []string
		for _, p := range l.Pairs {
			if p.Value != "" && p.Key != "prog" && (p.Key != jobKey || p.Value != b.Job) {
				pairs = append(pairs, p.Key+"="+p.Value)
			}
		}
		mark := "  "
		if !l.about(b.Job) {
			mark = "* "
		}
		fmt.Fprintf(&w, "%s +%-6d %s%-22s %-16s %s\n", l.Time.Format(timeFormat),
			l.Time.Sub(story[0].Time).Milliseconds(), mark, l.Process, l.Event, strings.Join(pairs, " "))
	}
	return w.String() + b.Outcome() + "\n"
}
