package psim

import (
	"fmt"
	"sync"
	"time"
)

const (
	// lossSlack is how long after a request was sent its connection may end without an answer
	// though the process has not read it.
	lossSlack = 200 * time.Millisecond
	// contactTime is how long before a request an entry must have been undisturbed.
	contactTime = 3 * time.Second
)

// stops holds when entries were told to stop, and when their callers' connections were last
// disturbed otherwise. The zero value is ready to use.
type stops struct {
	mu        sync.Mutex
	began     map[string]time.Time // by entry
	disturbed map[string]time.Time // by entry
}

// begin records that a process is told to stop.
func (s *stops) begin(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.began == nil {
		s.began = map[string]time.Time{}
	}
	s.began[name] = time.Now()
}

// disturb records that the connections of an entry's callers are disturbed.
func (s *stops) disturb(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.disturbed == nil {
		s.disturbed = map[string]time.Time{}
	}
	s.disturbed[name] = time.Now()
}

// excuses reports whether a request that was sent at the given time may end now without an answer.
// It may not if the entry was told to stop meanwhile and nothing else disturbed it.
func (s *stops) excuses(name string, sentAt time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(sentAt) <= lossSlack || !s.began[name].After(sentAt) || s.disturbed[name].After(sentAt.Add(-contactTime))
}

// Disturb records that an entry, or the connections of its callers, are disturbed by something else
// than a planned stop, so that requests may end without an answer.
func (p *Platform) Disturb(entry int) { p.stops.disturb(entryName(entry)) }

// entryName returns the name of the process of an entry, counted from 1.
func entryName(entry int) string { return fmt.Sprintf("e%d", entry) }
