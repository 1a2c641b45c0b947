package logs

import (
	"io"

	"github.com/go-kit/log"
	klog "github.com/go-kratos/kratos/v2/log"
)

// Logger writes lines of "key=value" pairs. The zero value writes nothing.
type Logger struct{ next log.Logger }

// New returns a logger to w whose lines carry the program's name and its ID.
func New(w io.Writer, program, id string) Logger {
	next := log.NewLogfmtLogger(log.NewSyncWriter(w))
	return Logger{next: log.With(next, "ts", log.DefaultTimestampUTC, "prog", program, "id", id)}
}

// Event writes one line about a change of state.
func (l Logger) Event(event string, pairs ...any) {
	if l.next == nil {
		return
	}
	_ = l.next.Log(append([]any{"event", event}, pairs...)...)
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
