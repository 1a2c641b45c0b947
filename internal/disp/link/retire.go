package link

import "github.com/gypsumlanding/gypsumlanding/internal/disp/gate"

// Retire makes Run end once no task or cancellation needs the link. Tasks may be sent
// until then.
func (l *Link) Retire() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.retired = true
	l.waker.Wake()
}

// Retired reports whether Retire was called and not undone since.
func (l *Link) Retired() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.retired
}

// Resume undoes Retire. It reports false if the link is closed, which can't be undone.
func (l *Link) Resume() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.retired = false
	return !l.closed
}

// beginTask counts a task as outstanding, so that the link stays open until endTask. It
// reports false, and counts nothing, if the link is closed.
func (l *Link) beginTask() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return false
	}
	l.outstanding++
	return true
}

func (l *Link) endTask() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outstanding--
}

// closeIfUnneeded closes a retired link that no task or cancellation needs, and reports
// whether it did.
func (l *Link) closeIfUnneeded() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.retired && !l.needed() {
		l.closed = true
	}
	return l.closed
}

func (l *Link) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
}

// needed reports whether a task may be at the gate, or a cancellation that the gate has
// not confirmed may still have an effect. It has none once all tasks have ended, as at a
// gate that does not answer. The caller holds mu.
func (l *Link) needed() bool {
	if l.outstanding > 0 {
		return true
	}
	allEnded := max(l.previousEnd, l.echoedReceived.Add(gate.MaxOrphanTime))
	return len(l.cancels) > 0 && l.now() < allEnded
}
