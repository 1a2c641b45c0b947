package logs

import (
	"bytes"
	"io"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
)

const (
	queueLines   = 1024 // lines that wait to be written
	lineRate     = 1000 // lines a second in the long run
	lineBurst    = 2000 // lines that may be saved up for a burst
	traceReserve = 1000 // of lineBurst, kept from the lines of requests
	// gatherFor is how long lines are gathered before they are written at once. A
	// process that is killed loses so much of its log.
	gatherFor = 20 * time.Millisecond
	// batchBytes are written at once at the most, but for a longer line: a pipe
	// takes so much in one piece, so lines of two processes don't mix.
	batchBytes = 4 << 10
	reportGap  = time.Second
	precision  = 100 * time.Microsecond // of durations
)

// line is one line before it is formatted.
type line struct {
	at      time.Time
	event   string
	pairs   []any
	written chan struct{} // of a mark: closed when all before it is written
}

// sink formats and writes lines on one goroutine.
type sink struct {
	w     io.Writer
	lines chan line
	total atomic.Int64 // lines dropped

	buffer bytes.Buffer
	next   log.Logger // to buffer

	mu      sync.Mutex
	tokens  float64 // lines that may be written at once
	filled  time.Time
	dropped map[string]int // lines by event since the last report
	report  time.Time      // when they were reported last
}

func newSink(w io.Writer, fixed []any) *sink {
	s := &sink{w: w, lines: make(chan line, queueLines), tokens: lineBurst, dropped: map[string]int{}}
	s.next = format(&s.buffer, fixed)
	return s
}

// put queues l unless the queue is full or fewer than reserve lines are left of
// the budget.
func (s *sink) put(l line, reserve float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.filled.IsZero() {
		s.tokens = min(lineBurst, s.tokens+lineRate*l.at.Sub(s.filled).Seconds())
	}
	s.filled = l.at
	if s.tokens < reserve+1 {
		s.drop(l)
		return
	}
	select {
	case s.lines <- l:
		s.tokens--
	default:
		s.drop(l)
	}
}

func (s *sink) drop(l line) {
	s.dropped[l.event]++
	s.total.Add(1)
}

// run writes what is queued for the life of the process.
func (s *sink) run() {
	for l := range s.lines {
		if l.written == nil {
			time.Sleep(gatherFor)
		}
		s.write(l)
	}
}

// write writes l and what is queued behind it.
func (s *sink) write(l line) {
	for l.written == nil {
		s.format(l)
		if len(s.lines) == 0 {
			break
		}
		l = <-s.lines
	}
	s.tellDropped(l.at)
	s.output(s.buffer.Len())
	if l.written != nil {
		close(l.written)
	}
}

// output writes the first n bytes of the buffer.
func (s *sink) output(n int) {
	// There is nowhere to tell that the output is closed.
	_, _ = s.w.Write(s.buffer.Next(n))
}

// format adds a line to the buffer, and writes the lines before it if they fill a
// batch.
func (s *sink) format(l line) {
	before := s.buffer.Len()
	pairs := append([]any{"ts", l.at.UTC().Format(time.RFC3339Nano), "event", l.event}, l.pairs...)
	for i, v := range pairs {
		if d, ok := v.(time.Duration); ok {
			pairs[i] = d.Round(precision)
		}
	}
	if err := s.next.Log(pairs...); err != nil {
		s.mu.Lock()
		s.drop(l)
		s.mu.Unlock()
	}
	if s.buffer.Len() > batchBytes && before > 0 {
		s.output(before)
	}
}

// tellDropped writes a line about the lines that were dropped, now and then.
func (s *sink) tellDropped(now time.Time) {
	s.mu.Lock()
	if len(s.dropped) == 0 || now.Sub(s.report) < reportGap {
		s.mu.Unlock()
		return
	}
	s.report = now
	dropped := s.dropped
	s.dropped = map[string]int{}
	s.mu.Unlock()
	lines := 0
	var by []string
	for event, n := range dropped {
		lines += n
		by = append(by, event+":"+strconv.Itoa(n))
	}
	slices.Sort(by)
	s.format(line{at: now, event: "log_dropped", pairs: []any{"lines", lines, "by", strings.Join(by, " ")}})
}

func (s *sink) flush(limit time.Duration) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	mark := line{at: time.Now(), written: make(chan struct{})}
	select {
	case s.lines <- mark:
	case <-timer.C:
		return
	}
	select {
	case <-mark.written:
	case <-timer.C:
	}
}
