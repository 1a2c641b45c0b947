package guard

import (
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// Phase is what a connection is doing.
type Phase int32

const (
	// Header means that the connection is idle or a header is being read.
	Header Phase = iota
	// Body means that a body is being read.
	Body
	// Working means that a request has been read and its answer is not finished.
	Working
	// Finishing means that the handler has returned.
	Finishing
)

const (
	// minIdle is how long a connection that has been served must have been without progress
	// before it is closed for a new one.
	minIdle = 10 * time.Second
	// minUnread is the same for a connection whose handler has returned. An answer fits the socket's
	// buffer, so only a client that reads none of many answers, or has stopped within a body that
	// the handler did not read, stays in this phase.
	minUnread = 100 * time.Millisecond
	// maxUnreadChecks bounds the checks for unread data when a connection is admitted.
	maxUnreadChecks = 4
	// minBodyTime and minBodyRate are how long a body must have been being read, and the rate in
	// bytes per second that it must fall short of, before its reservation is withdrawn for another.
	minBodyTime = 500 * time.Millisecond
	minBodyRate = 64 << 10
)

// Slot is the record of one connection. Its methods are safe for concurrent use.
type Slot struct {
	Addr netip.Addr // of the client

	phase     atomic.Int32
	served    atomic.Bool
	progress  atomic.Int64 // when data last arrived, ns
	reserved  atomic.Int64 // bytes of the budget
	bodySince atomic.Int64 // when the reading of the body began, ns
	bodyRead  atomic.Int64 // bytes of the body
}

// Enter records that the connection enters a phase.
func (s *Slot) Enter(p Phase) { s.phase.Store(int32(p)) }

// Phase returns the phase of the connection.
func (s *Slot) Phase() Phase { return Phase(s.phase.Load()) }

// Progress records that data arrived at now, in ns.
func (s *Slot) Progress(now int64) { s.progress.Store(now) }

// Serve records that a request of the connection has been served.
func (s *Slot) Serve() { s.served.Store(true) }

// Served reports whether a request of the connection has been served.
func (s *Slot) Served() bool { return s.served.Load() }

// Table holds the connections of one server. The zero value has no bounds. It is safe for
// concurrent use.
type Table struct {
	Max        int // connections; 0 means no bound
	MaxPerAddr int // connections from one IP address; 0 means no bound
	// Unread reports whether data of the client has arrived and has not been read; nil means never.
	// Such a connection is without progress because the process is busy.
	Unread func(*Slot) bool

	mu     sync.Mutex
	slots  map[*Slot]struct{}
	byAddr map[netip.Addr]int
}

// Admit adds a connection at now, in ns. If a limit is reached, it first removes the connection
// that is best closed for it, and returns that one. It reports false if there is none, and the new
// connection has to be closed. The name of the limit is empty if none was reached.
func (t *Table) Admit(s *Slot, now int64) (victim *Slot, limit string, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case t.MaxPerAddr > 0 && t.byAddr[s.Addr] >= t.MaxPerAddr:
		victim, limit = t.stalestRead(now, func(o *Slot) bool { return o.Addr == s.Addr }), CauseAddress
	case t.Max > 0 && len(t.slots) >= t.Max:
		victim, limit = t.stalestRead(now, func(*Slot) bool { return true }), CauseConnections
	}
	if limit != "" && victim == nil {
		return nil, limit, false
	}
	if victim != nil {
		t.remove(victim)
	}
	if t.slots == nil {
		t.slots, t.byAddr = map[*Slot]struct{}{}, map[netip.Addr]int{}
	}
	t.slots[s] = struct{}{}
	t.byAddr[s.Addr]++
	s.progress.Store(now)
	return victim, limit, true
}

// Remove removes a connection, unless Admit has.
func (t *Table) Remove(s *Slot) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.remove(s)
}

func (t *Table) remove(s *Slot) {
	if _, ok := t.slots[s]; !ok {
		return
	}
	delete(t.slots, s)
	if t.byAddr[s.Addr]--; t.byAddr[s.Addr] == 0 {
		delete(t.byAddr, s.Addr)
	}
}

// Len returns the number of connections.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.slots)
}

// stalestRead returns what stalest does, but passes over up to maxUnreadChecks connections with
// unread data. They then count as having made progress at now.
func (t *Table) stalestRead(now int64, matches func(*Slot) bool) *Slot {
	best := t.stalest(now, matches)
	for range maxUnreadChecks {
		if best == nil || t.Unread == nil || !t.Unread(best) {
			break
		}
		best.Progress(now)
		best = t.stalest(now, matches)
	}
	return best
}

// stalest returns the connection that is best closed at now among those that match, or nil. One
// that has not been served goes before one that has, and then the one that is without progress
// for longest. A connection with a request in work is never returned.
func (t *Table) stalest(now int64, matches func(*Slot) bool) *Slot {
	var best *Slot
	var bestServed bool
	var bestProgress int64
	for s := range t.slots {
		served, progress, phase := s.Served(), s.progress.Load(), s.Phase()
		idle := time.Duration(now - progress)
		if phase == Working || served && (phase == Finishing && idle < minUnread || phase != Finishing && idle < minIdle) || !matches(s) {
			continue
		}
		served = served && phase != Finishing
		if best == nil || bestServed && !served || bestServed == served && progress < bestProgress {
			best, bestServed, bestProgress = s, served, progress
		}
	}
	return best
}

// SlowestBody returns the connection whose body arrives at the lowest rate among those that have
// reserved bytes and are below the lowest permitted rate at now, or one that has stopped within a
// header, or nil.
func (t *Table) SlowestBody(now int64) *Slot {
	t.mu.Lock()
	defer t.mu.Unlock()
	var slowest *Slot
	lowest := float64(minBodyRate)
	for s := range t.slots {
		elapsed, phase := now-s.bodySince.Load(), s.Phase()
		if phase == Header {
			elapsed = now - s.progress.Load()
		}
		if phase != Body && phase != Header || s.reserved.Load() == 0 || elapsed < int64(minBodyTime) {
			continue
		}
		if phase == Header {
			return s
		}
		if rate := float64(s.bodyRead.Load()) / time.Duration(elapsed).Seconds(); rate < lowest {
			slowest, lowest = s, rate
		}
	}
	return slowest
}
