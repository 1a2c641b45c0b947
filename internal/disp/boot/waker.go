package boot

import (
	"context"
	"sync"
	"time"
)

// Waker ends the wait of a loop that has to look at its state without delay. The zero
// value is ready for use. It is safe for concurrent use.
type Waker struct {
	once  sync.Once
	woken chan struct{} // use channel
}

// Wake ends a wait in progress, and only one if there are several, or the next one if there
// is none. Calls before that wait count as one. It does not block.
func (w *Waker) Wake() {
	select {
	case w.channel() <- struct{}{}:
	default:
	}
}

// Await waits for d, or until ctx is cancelled or Wake is called, and reports whether
// Wake ended the wait.
func (w *Waker) Await(ctx context.Context, d time.Duration) bool {
	return Await(ctx, w.channel(), d)
}

// channel returns the channel that holds a value if Wake was called.
func (w *Waker) channel() chan struct{} {
	w.once.Do(func() { w.woken = make(chan struct{}, 1) })
	return w.woken
}
