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
	queueSize     = 1024 // lines waiting to be written
	sustainedRate = 1000 // lines per second that the rate limit permits
	maxBurst      = 2000 // lines permitted at once after a pause
	traceReserve  = 1000 // lines of maxBurst reserved for changes of state
	// batchDelay is how long lines are collected before they are written together. A
	// process that is killed loses the lines of that time.
	batchDelay = 20 * time.Millisecond
	// maxWriteBytes is the largest size of a write, except for a single longer line. A
	// pipe takes writes up to this size without interleaving them with others, so lines
	// of two processes that share a pipe don't mix.
	maxWriteBytes      = 4 << 10
	dropReportInterval = time.Second
	durationPrecision  = 100 * time.Microsecond // durations are rounded to multiples of this
)

// line is a line that is not formatted yet, or a marker of a flush, which has no text.
type line struct {
	timestamp time.Time
	event     string
	pairs     []any
	flushed   chan struct{} // of a marker: closed when all lines before it are written; otherwise nil
}

// sink queues lines, and formats and writes them on one goroutine.
type sink struct {
	out          io.Writer
	queue        chan line
	droppedTotal atomic.Int64 // lines dropped since the start

	buffer  bytes.Buffer
	encoder log.Logger // formats lines into buffer

	mu             sync.Mutex
	tokens         float64 // lines that the rate limit permits now
	lastRefill     time.Time
	droppedByEvent map[string]int // lines dropped since the last report, by event
	lastDropReport time.Time      // time of the last report
}

// newSink returns a sink that writes to out once its method run is called. Each line starts with fixedPairs.
func newSink(out io.Writer, fixedPairs []any) *sink {
	s := &sink{out: out, queue: make(chan line, queueSize), tokens: maxBurst, droppedByEvent: map[string]int{}}
	s.encoder = newEncoder(&s.buffer, fixedPairs)
	return s
}

// enqueue queues l, or drops it if the queue is full or fewer than reserve lines of the
// rate limit would be left.
func (s *sink) enqueue(l line, reserve float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.lastRefill.IsZero() {
		s.tokens = min(maxBurst, s.tokens+sustainedRate*l.timestamp.Sub(s.lastRefill).Seconds())
	}
	s.lastRefill = l.timestamp
	if s.tokens < reserve+1 {
		s.countDropped(l)
		return
	}
	select {
	case s.queue <- l:
		s.tokens--
	default:
		s.countDropped(l)
	}
}

// countDropped counts l as dropped. The caller holds s.mu.
func (s *sink) countDropped(l line) {
	s.droppedByEvent[l.event]++
	s.droppedTotal.Add(1)
}

// run writes queued lines until the process ends.
func (s *sink) run() {
	for l := range s.queue {
		if l.flushed == nil {
			time.Sleep(batchDelay)
		}
		s.writeBatch(l)
	}
}

// writeBatch writes l and the lines queued behind it, up to the first marker.
func (s *sink) writeBatch(l line) {
	for l.flushed == nil {
		s.format(l)
		if len(s.queue) == 0 {
			break
		}
		l = <-s.queue
	}
	s.reportDropped(l.timestamp)
	s.writeBuffered(s.buffer.Len())
	if l.flushed != nil {
		close(l.flushed)
	}
}

// writeBuffered writes the first n bytes of the buffer and removes them.
func (s *sink) writeBuffered(n int) {
	// An error is ignored, as there is nowhere else to report it.
	_, _ = s.out.Write(s.buffer.Next(n))
}

// format appends a line to the buffer. If the buffer then exceeds maxWriteBytes, it
// writes the lines before this one.
func (s *sink) format(l line) {
	bytesBefore := s.buffer.Len()
	pairs := append([]any{"ts", l.timestamp.UTC().Format(time.RFC3339Nano), "event", l.event}, l.pairs...)
	for i, v := range pairs {
		if d, ok := v.(time.Duration); ok {
			pairs[i] = d.Round(durationPrecision)
		}
	}
	if err := s.encoder.Log(pairs...); err != nil {
		s.mu.Lock()
		s.countDropped(l)
		s.mu.Unlock()
	}
	if s.buffer.Len() > maxWriteBytes && bytesBefore > 0 {
		s.writeBuffered(bytesBefore)
	}
}

// reportDropped appends a line that reports how many lines of each event were dropped,
// at most once per dropReportInterval.
func (s *sink) reportDropped(now time.Time) {
	s.mu.Lock()
	if len(s.droppedByEvent) == 0 || now.Sub(s.lastDropReport) < dropReportInterval {
		s.mu.Unlock()
		return
	}
	s.lastDropReport = now
	dropped := s.droppedByEvent
	s.droppedByEvent = map[string]int{}
	s.mu.Unlock()
	total := 0
	var counts []string
	for event, n := range dropped {
		total += n
		counts = append(counts, event+":"+strconv.Itoa(n))
	}
	slices.Sort(counts)
	s.format(line{timestamp: now, event: "log_dropped", pairs: []any{"lines", total, "by", strings.Join(counts, " ")}})
}

// flush waits until all lines queued before it are written, but no longer than timeout.
func (s *sink) flush(timeout time.Duration) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	marker := line{timestamp: time.Now(), flushed: make(chan struct{})}
	select {
	case s.queue <- marker:
	case <-timer.C:
		return
	}
	select {
	case <-marker.flushed:
	case <-timer.C:
	}
}
