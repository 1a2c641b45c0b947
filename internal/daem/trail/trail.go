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
	maxLineBytes = 1 << 20
	// Changes of state count as related to a request from marginBefore before its first
	// line until marginAfter after its last.
	marginBefore = time.Second
	marginAfter  = 2 * time.Second
	// linePrefix is the start of the lines of the system's processes. Text before it was
	// added by the tool that collected the lines, and is ignored.
	linePrefix = "prog="
)

// Keys that every line has, and keys that identify a request.
const (
	processKey = "id"
	timeKey    = "ts"
	eventKey   = "event"
	jobKey     = "job"
	taskKey    = "task"
)

// Pair is a "key=value" pair of a line.
type Pair struct{ Key, Value string }

// Line is one line in the log of a process.
type Line struct {
	Time    time.Time
	Process string // ID of the process
	Event   string
	Pairs   []Pair // all other pairs, in the order of the line
}

// Get returns the value of the first of l.Pairs with this key, or the empty string if
// there is none.
func (l Line) Get(key string) string {
	for _, p := range l.Pairs {
		if p.Key == key {
			return p.Value
		}
	}
	return ""
}

// isAbout reports whether l is about the job with this ID or one of its tasks.
func (l Line) isAbout(jobID string) bool {
	return l.Get(jobKey) == jobID || strings.HasPrefix(l.Get(taskKey), jobID+".")
}

// jobBreakerEvents are changes of state of a circuit breaker. Their lines name the job
// whose result caused the change, but are not about that job.
var jobBreakerEvents = map[string]bool{"target_aside": true, "target_back": true}

// isRequestLine reports whether l is about a request, as opposed to a change of state.
func (l Line) isRequestLine() bool { return l.Get(jobKey) != "" && !jobBreakerEvents[l.Event] }

// Timeline collects the lines about one request, and the changes of state that may have
// affected it. Set Job before the first call of Read.
type Timeline struct {
	Job          string // ID of the job
	requestLines []Line // about the job, in the order read
	stateLines   []Line // all changes of state, in the order read
}

// Read adds the log lines in r. It ignores lines that were not written by the system's
// processes. It returns an error if reading fails or a line exceeds 1 MiB.
func (t *Timeline) Read(r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	for scanner.Scan() {
		l, ok := parseLine(scanner.Text())
		switch {
		case !ok:
		case !l.isRequestLine():
			t.stateLines = append(t.stateLines, l)
		case l.isAbout(t.Job):
			t.requestLines = append(t.requestLines, l)
		}
	}
	return merry.Prepend(scanner.Err(), "reading log lines")
}

// parseLine parses a line. It reports false if the line was not written by one of the
// system's processes, is malformed, or lacks an event or a time.
func parseLine(text string) (Line, bool) {
	start := strings.Index(text, linePrefix)
	if start < 0 {
		return Line{}, false
	}
	var l Line
	decoder := logfmt.NewDecoder(strings.NewReader(text[start:]))
	if !decoder.ScanRecord() {
		return Line{}, false
	}
	for decoder.ScanKeyval() {
		value := string(decoder.Value())
		switch string(decoder.Key()) {
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
			l.Pairs = append(l.Pairs, Pair{string(decoder.Key()), value})
		}
	}
	return l, decoder.Err() == nil && l.Event != "" && !l.Time.IsZero()
}

// Lines returns the lines about the request and the related changes of state, in the
// order of time. A change of state is related if it concerns a process, target or gate
// that a line about the request names. Lines returns nil if no line is about the
// request.
func (t *Timeline) Lines() []Line {
	if len(t.requestLines) == 0 {
		return nil
	}
	lines := slices.Clone(t.requestLines)
	slices.SortStableFunc(lines, byTime)
	begin, end := lines[0].Time.Add(-marginBefore), lines[len(lines)-1].Time.Add(marginAfter)
	components := t.involved()
	for _, l := range t.stateLines {
		if l.Time.After(begin) && l.Time.Before(end) && l.concerns(components) {
			lines = append(lines, l)
		}
	}
	slices.SortStableFunc(lines, byTime)
	return lines
}

// byTime compares the times of two lines.
func byTime(a, b Line) int { return a.Time.Compare(b.Time) }

// componentKeys are the keys of pairs that name a process or a target.
var componentKeys = []string{"target", "gate", "entry"}

// involved returns the processes and targets that the request's lines name.
func (t *Timeline) involved() map[string]bool {
	components := map[string]bool{}
	for _, l := range t.requestLines {
		components[l.Process] = true
		for _, key := range componentKeys {
			components[l.Get(key)] = true
		}
	}
	delete(components, "")
	return components
}

// periodicEvents are events that are logged at regular intervals and have no relation
// to a request.
var periodicEvents = map[string]bool{"load": true, "sender": true, "registered": true}

// concerns reports whether the change of state l is about one of the components. A
// line of a process among them that names a target or gate is about that one only.
func (l Line) concerns(components map[string]bool) bool {
	if periodicEvents[l.Event] {
		return false
	}
	if components[l.Process] {
		return l.Get("target") == "" && l.Get("gate") == "" || components[l.Get("target")] || components[l.Get("gate")]
	}
	return slices.ContainsFunc(componentKeys, func(key string) bool { return components[l.Get(key)] })
}

// Outcome returns one sentence that says how the request ended, according to its lines.
func (t *Timeline) Outcome() string {
	lines := t.Lines()
	if len(lines) == 0 {
		return "no line is about this request: it reached no entry whose lines were collected, or its lines were dropped (log_dropped)"
	}
	for _, l := range slices.Backward(lines) {
		if l.Event == "job" {
			return fmt.Sprintf("%s ended it as %s%s after %s ms with %s tasks placed again",
				l.Process, l.Get("state"), reasonSuffix(l), l.Get("ms"), l.Get("retries"))
		}
		if l.Event == "request_refused" && l.isAbout(t.Job) {
			return fmt.Sprintf("%s refused it with status %s%s", l.Process, l.Get("status"), reasonSuffix(l))
		}
	}
	entry := ""
	for _, l := range lines {
		if l.Event == "step_admitted" {
			entry = l.Process
		}
		if l.Event == "started" && l.Process == entry {
			return fmt.Sprintf("lost with the process: %s accepted it, and restarted at %s", entry, l.Time.Format(timeFormat))
		}
	}
	return "no entry reports its end: the entry crashed before it, or its last lines were not collected"
}

// reasonSuffix returns the reason in l in parentheses, or the empty string if l has none.
func reasonSuffix(l Line) string {
	if reason := l.Get("reason"); reason != "" {
		return " (" + reason + ")"
	}
	return ""
}

const timeFormat = "15:04:05.000"

// Text returns the result of Lines, one line each with its offset from the first in ms,
// followed by Outcome. Changes of state are marked with an asterisk.
func (t *Timeline) Text() string {
	var text strings.Builder
	lines := t.Lines()
	for _, l := range lines {
		var pairs []string
		for _, p := range l.Pairs {
			if p.Value != "" && p.Key != "prog" && (p.Key != jobKey || p.Value != t.Job) {
				pairs = append(pairs, p.Key+"="+p.Value)
			}
		}
		marker := "  "
		if !l.isAbout(t.Job) {
			marker = "* "
		}
		fmt.Fprintf(&text, "%s +%-6d %s%-22s %-16s %s\n", l.Time.Format(timeFormat),
			l.Time.Sub(lines[0].Time).Milliseconds(), marker, l.Process, l.Event, strings.Join(pairs, " "))
	}
	return text.String() + t.Outcome() + "\n"
}
