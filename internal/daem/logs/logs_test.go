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

const flushLimit = 20 * time.Second

// buffer is an output that can be made to block.
type buffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *buffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

func TestLineHasItsPairs(t *testing.T) {
	var out buffer
	l := New(&out, "prog", "e1")
	l.Event("started", "life", 7)
	l.Trace("job", "job", "a b", "after", 1234567*time.Nanosecond)
	l.Flush(flushLimit)
	for _, want := range []string{"prog=prog id=e1 ts=", "event=started life=7\n", `event=job job="a b" after=1.2ms`} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("%q lacks %q", out.String(), want)
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
	l.Flush(flushLimit)
	if l.Dropped() != 0 {
		t.Error("counted a line")
	}
}

// A reader that does not read must not hold up who logs.
func TestBlockedOutputHoldsNobodyUp(t *testing.T) {
	var out buffer
	l := New(&out, "prog", "e1")
	out.mu.Lock()
	const n = 3 * queueLines
	for i := range n {
		l.Event("busy", "i", i)
	}
	l.Flush(time.Millisecond) // gives up
	out.mu.Unlock()
	l.Flush(flushLimit)
	written := strings.Count(out.String(), "event=busy")
	if got := int64(n - written); got != l.Dropped() || got == 0 {
		t.Errorf("%d lines written, %d counted as dropped", written, l.Dropped())
	}
}

// Lines of requests are bounded a second, leave room for changes of state, and
// what was dropped is said.
func TestLinesOfRequestsAreBounded(t *testing.T) {
	var out buffer
	s := newSink(&out, nil)
	now := time.Unix(1000, 0)
	for i := range 10 * lineBurst {
		s.put(line{at: now, event: "task_placed", pairs: []any{"i", i}}, traceReserve)
		if len(s.lines) == cap(s.lines) {
			s.write(<-s.lines)
		}
	}
	s.put(line{at: now, event: "config"}, 0)
	for len(s.lines) > 0 {
		s.write(<-s.lines)
	}
	traced := strings.Count(out.String(), "event=task_placed")
	if traced != lineBurst-traceReserve {
		t.Errorf("%d lines of requests, want %d", traced, lineBurst-traceReserve)
	}
	if !strings.Contains(out.String(), "event=config") {
		t.Error("no room for a change of state")
	}
	if got := s.total.Load(); got != int64(10*lineBurst-traced) {
		t.Errorf("%d counted as dropped", got)
	}
	s.put(line{at: now.Add(2 * reportGap), event: "later"}, 0)
	s.write(<-s.lines)
	said := 0
	for _, m := range regexp.MustCompile(`event=log_dropped lines=(\d+)`).FindAllStringSubmatch(out.String(), -1) {
		n, err := strconv.Atoi(m[1])
		if err != nil {
			t.Fatal(err)
		}
		said += n
	}
	if int64(said) != s.total.Load() {
		t.Errorf("%d lines said to be dropped, %d were", said, s.total.Load())
	}
}

// sizes notes the sizes of writes, and whether each ends with a line.
type sizes struct {
	most  int
	torn  bool
	lines int
}

func (s *sizes) Write(p []byte) (int, error) {
	s.most = max(s.most, len(p))
	s.torn = s.torn || !bytes.HasSuffix(p, []byte("\n"))
	s.lines += bytes.Count(p, []byte("\n"))
	return len(p), nil
}

func TestLinesAreWrittenWholeInSmallPieces(t *testing.T) {
	var out sizes
	s := newSink(&out, nil)
	for i := range 500 {
		s.put(line{at: time.Unix(1000, 0), event: "started", pairs: []any{"i", i, "text", strings.Repeat("x", i%90)}}, 0)
	}
	s.write(<-s.lines)
	if out.most > batchBytes || out.torn || out.lines != 500 {
		t.Errorf("%d lines written, up to %d bytes at once, torn: %t", out.lines, out.most, out.torn)
	}
}

// BenchmarkTrace measures what a line costs in processor time, formatting and
// writing included.
func BenchmarkTrace(b *testing.B) {
	s := newSink(&bytes.Buffer{}, []any{"prog", "gypsumlanding", "id", "front-1"})
	at := time.Now()
	for range b.N {
		s.tokens = lineBurst
		s.put(line{at: at, event: "task_placed", pairs: []any{
			"job", "5c0e7a21d94b36f8", "task", "5c0e7a21d94b36f8.0.1.17", "target", "i-7f3a91c2",
			"wait", int64(0), "expected", int64(200), "age", int64(31), "gates", 11,
		}}, traceReserve)
		if len(s.lines) == cap(s.lines) {
			s.write(<-s.lines)
			if w, ok := s.w.(*bytes.Buffer); ok {
				w.Reset()
			}
		}
	}
}
