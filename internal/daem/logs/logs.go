package logs

import (
	"io"
	"time"

	"github.com/go-kit/log"
	klog "github.com/go-kratos/kratos/v2/log"
)

// Logger writes lines of "key=value" pairs. Logging never waits for the reader of the
// output: lines go through a bounded queue, and a line that finds the queue full or
// exceeds the rate limit is dropped and counted. The zero value writes nothing. It is
// safe for concurrent use.
type Logger struct{ sink *sink }

// New returns a logger that writes to w. Each line starts with the program's name and
// the given ID of the process. The logger's goroutine runs until the program ends.
func New(w io.Writer, program, id string) Logger {
	s := newSink(w, []any{"prog", program, "id", id})
	go s.run()
	return Logger{s}
}

// Event writes a line about a change of state, with its details as alternating keys
// and values.
func (l Logger) Event(event string, pairs ...any) { l.enqueue(event, 0, pairs) }

// Trace writes a line about a request, with its details as alternating keys and values.
// It drops the line if the rate limit leaves less than traceReserve lines for changes
// of state.
func (l Logger) Trace(event string, pairs ...any) { l.enqueue(event, traceReserve, pairs) }

// Dropped returns the number of lines that were dropped since the start.
func (l Logger) Dropped() int64 {
	if l.sink == nil {
		return 0
	}
	return l.sink.droppedTotal.Load()
}

// Flush waits until all lines logged before it are written, but no longer than timeout.
func (l Logger) Flush(timeout time.Duration) {
	if l.sink != nil {
		l.sink.flush(timeout)
	}
}

// enqueue queues a line unless fewer than reserve lines of the rate limit are left.
func (l Logger) enqueue(event string, reserve float64, pairs []any) {
	if l.sink != nil {
		l.sink.enqueue(line{timestamp: time.Now(), event: event, pairs: pairs}, reserve)
	}
}

// Kratos returns a logger for the kratos library that passes on warnings and
// errors only.
func (l Logger) Kratos() klog.Logger { return kratos{l} }

// kratos logs the lines of the kratos library as events.
type kratos struct{ logger Logger }

// Log writes a line if its level is warning or higher. It always returns nil.
func (k kratos) Log(level klog.Level, pairs ...any) error {
	if level >= klog.LevelWarn {
		k.logger.Event("library", pairs...)
	}
	return nil
}

// newEncoder returns a go-kit logger that writes lines to w, each with fixedPairs first.
func newEncoder(w io.Writer, fixedPairs []any) log.Logger {
	return log.With(log.NewLogfmtLogger(w), fixedPairs...)
}
