package logs

import (
	"io"
	"time"

	"github.com/go-kit/log"
	klog "github.com/go-kratos/kratos/v2/log"
)

// Logger writes lines of "key=value" pairs. Writing never waits for the reader
// of the output: lines go through a bounded queue, and what finds it full, or is
// beyond the budget, is dropped and counted. The zero value writes nothing. It is
// safe for concurrent use.
type Logger struct{ sink *sink }

// New returns a logger to w whose lines carry the program's name and its ID.
func New(w io.Writer, program, id string) Logger {
	s := newSink(w, []any{"prog", program, "id", id})
	go s.run()
	return Logger{s}
}

// Event writes one line about a change of state.
func (l Logger) Event(event string, pairs ...any) { l.put(event, 0, pairs) }

// Trace writes one line about a request. Lines of requests use the part of the
// budget that changes of state leave.
func (l Logger) Trace(event string, pairs ...any) { l.put(event, traceReserve, pairs) }

// Dropped returns how many lines were not written.
func (l Logger) Dropped() int64 {
	if l.sink == nil {
		return 0
	}
	return l.sink.total.Load()
}

// Flush waits until what was logged is written, for limit at most.
func (l Logger) Flush(limit time.Duration) {
	if l.sink != nil {
		l.sink.flush(limit)
	}
}

func (l Logger) put(event string, reserve float64, pairs []any) {
	if l.sink != nil {
		l.sink.put(line{at: time.Now(), event: event, pairs: pairs}, reserve)
	}
}

// Kratos returns a logger for the kratos library that passes on warnings and
// errors only.
func (l Logger) Kratos() klog.Logger { return kratos{l} }

type kratos struct{ logger Logger }

// Log writes a line of the library.
func (k kratos) Log(level klog.Level, pairs ...any) error {
	if level >= klog.LevelWarn {
		k.logger.Event("library", pairs...)
	}
	return nil
}

// format returns a logger of go-kit's that writes lines to w.
func format(w io.Writer, fixed []any) log.Logger { return log.With(log.NewLogfmtLogger(w), fixed...) }
