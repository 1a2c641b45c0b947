package logs

import (
	"bytes"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

const flushTimeout = 20 * time.Second

// blockableOutput is an output that blocks while its mutex is held.
type blockableOutput struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *blockableOutput) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *blockableOutput) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

func TestLineFormat(t *testing.T) {
	var out blockableOutput
	l := New(&out, "prog", "e1")
	l.Event("started", "life", 7)
	l.Trace("job", "job", "a b", "after", 1234567*time.Nanosecond)
	l.Flush(flushTimeout)
	for _, want := range []string{"prog=prog id=e1 ts=", "event=started life=7\n", `event=job job="a b" after=1.2ms`} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("%q does not contain %q", out.String(), want)
		}
	}
	if strings.Index(out.String(), "started") > strings.Index(out.String(), "event=job") {
		t.Error("lines are not in order")
	}
}

func TestZeroLoggerWritesNothing(t *testing.T) {
	var l Logger
	l.Event("started")
	l.Trace("job")
	l.Flush(flushTimeout)
	if l.Dropped() != 0 {
		t.Error("counted a line as dropped")
	}
}

// Guards against a logger that blocks its callers because nobody reads the output.
func TestBlockedOutputDoesNotBlockLogging(t *testing.T) {
	var out blockableOutput
	l := New(&out, "prog", "e1")
	out.mu.Lock()
	const n = 3 * queueSize
	for i := range n {
		l.Event("busy", "i", i)
	}
	l.Flush(time.Millisecond) // returns at its timeout
	out.mu.Unlock()
	l.Flush(flushTimeout)
	written := strings.Count(out.String(), "event=busy")
	if got := int64(n - written); got != l.Dropped() || got == 0 {
		t.Errorf("%d lines written, %d counted as dropped", written, l.Dropped())
	}
}

// Lines about requests must stay below the rate limit by traceReserve, so that changes
// of state are still logged, and the lines dropped must be reported in the log.
func TestTraceRateIsLimited(t *testing.T) {
	var out blockableOutput
	s := newSink(&out, nil)
	now := time.Unix(1000, 0)
	for i := range 10 * maxBurst {
		s.enqueue(line{timestamp: now, event: "task_placed", pairs: []any{"i", i}}, traceReserve)
		if len(s.queue) == cap(s.queue) {
			s.writeBatch(<-s.queue)
		}
	}
	s.enqueue(line{timestamp: now, event: "config"}, 0)
	for len(s.queue) > 0 {
		s.writeBatch(<-s.queue)
	}
	traced := strings.Count(out.String(), "event=task_placed")
	if traced != maxBurst-traceReserve {
		t.Errorf("%d lines about requests, want %d", traced, maxBurst-traceReserve)
	}
	if !strings.Contains(out.String(), "event=config") {
		t.Error("the line about a change of state was dropped")
	}
	if got := s.droppedTotal.Load(); got != int64(10*maxBurst-traced) {
		t.Errorf("%d lines counted as dropped", got)
	}
	s.enqueue(line{timestamp: now.Add(2 * dropReportInterval), event: "later"}, 0)
	s.writeBatch(<-s.queue)
	reported := 0
	for _, m := range regexp.MustCompile(`event=log_dropped lines=(\d+)`).FindAllStringSubmatch(out.String(), -1) {
		n, err := strconv.Atoi(m[1])
		if err != nil {
			t.Fatal(err)
		}
		reported += n
	}
	if int64(reported) != s.droppedTotal.Load() {
		t.Errorf("%d lines reported as dropped, %d were", reported, s.droppedTotal.Load())
	}
}

// writeRecorder records the largest write, whether any write ended within a line, and
// the number of lines.
type writeRecorder struct {
	maxBytes  int
	splitLine bool
	lines     int
}

func (s *writeRecorder) Write(p []byte) (int, error) {
	s.maxBytes = max(s.maxBytes, len(p))
	s.splitLine = s.splitLine || !bytes.HasSuffix(p, []byte("\n"))
	s.lines += bytes.Count(p, []byte("\n"))
	return len(p), nil
}

func TestWritesAreSmallAndDoNotSplitLines(t *testing.T) {
	var out writeRecorder
	s := newSink(&out, nil)
	for i := range 500 {
		s.enqueue(line{timestamp: time.Unix(1000, 0), event: "started", pairs: []any{"i", i, "text", strings.Repeat("x", i%90)}}, 0)
	}
	s.writeBatch(<-s.queue)
	if out.maxBytes > maxWriteBytes || out.splitLine || out.lines != 500 {
		t.Errorf("%d lines written, up to %d bytes at once, a line was split: %t", out.lines, out.maxBytes, out.splitLine)
	}
}

// BenchmarkTrace measures the processor time of a line, including formatting and
// writing.
func BenchmarkTrace(b *testing.B) {
	s := newSink(&bytes.Buffer{}, []any{"prog", "gypsumlanding", "id", "front-1"})
	timestamp := time.Now()
	for range b.N {
		s.tokens = maxBurst
		s.enqueue(line{timestamp: timestamp, event: "task_placed", pairs: []any{
			"job", "5c0e7a21d94b36f8", "task", "5c0e7a21d94b36f8.0.1.17", "target", "i-7f3a91c2",
			"wait", int64(0), "expected", int64(200), "age", int64(31), "gates", 11,
		}}, traceReserve)
		if len(s.queue) == cap(s.queue) {
			s.writeBatch(<-s.queue)
			if w, ok := s.out.(*bytes.Buffer); ok {
				w.Reset()
			}
		}
	}
}
