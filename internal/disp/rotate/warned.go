package rotate

import (
	"sync"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
)

// maxEchoAge is the age from which on the echo of a timestamp dates nothing of use.
const maxEchoAge = 900 * time.Millisecond

// Echo is a timestamp of another entry, to be sent back to it.
type Echo struct {
	Incarnation uint64 // of the other entry
	Timestamp   int64  // by its clock
	Received    boot.Time
}

// Warned records which other entries know that this one is out of rotation, by their addresses. The
// zero value is ready to use. It is safe for concurrent use.
type Warned struct {
	mu    sync.Mutex
	asked map[string]boot.Time // when the newest word that was answered was sent
	echos map[string]Echo      // from the newest answer
}

// Record records that the entry at addr has answered the word that was sent at asked with an echo.
func (w *Warned) Record(addr string, asked boot.Time, e Echo) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.asked == nil {
		w.asked, w.echos = map[string]boot.Time{}, map[string]Echo{}
	}
	w.asked[addr] = max(w.asked[addr], asked)
	if e.Received >= w.echos[addr].Received {
		w.echos[addr] = e
	}
}

// Knows reports whether the entry at addr has answered a word that was sent within RepeatInterval
// before now.
func (w *Warned) Knows(addr string, now boot.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	asked, ok := w.asked[addr]
	return ok && now.Sub(asked) < RepeatInterval
}

// Echo returns the newest timestamp of the entry at addr, and whether there is one that is young
// enough at now.
func (w *Warned) Echo(addr string, now boot.Time) (Echo, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	e, ok := w.echos[addr]
	return e, ok && now.Sub(e.Received) < maxEchoAge
}

// Forget deletes what is recorded about the entry at addr.
func (w *Warned) Forget(addr string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.asked, addr)
	delete(w.echos, addr)
}
