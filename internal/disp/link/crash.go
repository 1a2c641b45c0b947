package link

import "github.com/gypsumlanding/gypsumlanding/internal/wire/msgs"

// lastCrash returns the highest number of a loss that the gate has told of.
func (l *Link) lastCrash() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.crashesSeen
}

// tellCrashes passes on the losses in the reply of an incarnation of the gate to a Sync call, whose
// load has been applied.
func (l *Link) tellCrashes(incarnation uint64, crashes []msgs.TaskCrash) {
	if len(crashes) == 0 {
		return
	}
	if l.Crashes != nil {
		l.Crashes(incarnation, crashes)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if incarnation != l.load.Incarnation {
		return
	}
	for _, c := range crashes {
		l.crashesSeen = max(l.crashesSeen, c.Number)
	}
}
