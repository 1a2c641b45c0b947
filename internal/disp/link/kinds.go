package link

import "github.com/gypsumlanding/gypsumlanding/internal/disp/boot"

// WantKinds makes the Sync calls until the given time ask for the runs by kind.
func (l *Link) WantKinds(until boot.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.kindsUntil = until
}

// wantsKinds reports whether a Sync call now asks for the runs by kind.
func (l *Link) wantsKinds() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.now() < l.kindsUntil
}

// Runs returns the number of runs of a kind at the gate's target according to its load, and
// of tasks sent since.
func (l *Link) Runs(kind string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for i := range l.load.Kinds {
		if l.load.Kinds[i].Kind == kind {
			n += l.load.Kinds[i].Runs
		}
	}
	for i := range l.recent {
		if l.recent[i].kind == kind {
			n++
		}
	}
	return n
}
