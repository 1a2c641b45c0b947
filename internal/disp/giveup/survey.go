package giveup

import (
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
)

// survey asks several entries one question each. It needs one goroutine, whatever their number.
type survey struct {
	asker *Asker
	// expiry returns when the entry at addr is no longer waited for, given when it was asked.
	expiry func(addr string, asked boot.Time) boot.Time
	// awaitRefused means that an entry that refuses the connection is waited for too.
	awaitRefused bool
	// first means that the first entry that has the job ends the survey.
	first bool

	mu      sync.Mutex
	open    map[string]*question // by the address of an entry that is waited for
	has     []string             // addresses of the entries that have the job
	changed chan struct{}        // holds a value if open has changed
}

// run asks the entries at addrs, and returns those that answer in time that they have the job, and
// those that were asked and have not answered.
func (s *survey) run(ctx context.Context, p purpose, addrs []string, job string) (has, silent []string) {
	s.open, s.changed = map[string]*question{}, make(chan struct{}, 1)
	asked := s.asker.now()
	for _, addr := range addrs {
		q := newQuestion(p, job, func() {}, func(got answer) { s.record(addr, got) })
		s.mu.Lock()
		s.open[addr] = q
		s.mu.Unlock()
		s.asker.enqueue(addr, q)
	}
	for ctx.Err() == nil {
		wait, more := s.expire(asked, &silent)
		if !more {
			break
		}
		boot.Await(ctx, s.changed, wait)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for addr, q := range s.open {
		s.asker.inquiryTo(addr).take(q)
	}
	return s.has, silent
}

// record processes the answer of an entry.
func (s *survey) record(addr string, got answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, waits := s.open[addr]; !waits || got.err != nil && s.awaitRefused {
		return
	}
	delete(s.open, addr)
	if got.hasJob {
		s.has = append(s.has, addr)
	}
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// expire removes the entries that are no longer waited for, and adds those to silent that got the
// question. It returns how long to wait until it is to be called again, and whether any entry is waited
// for.
func (s *survey) expire(asked boot.Time, silent *[]string) (wait time.Duration, more bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.first && len(s.has) > 0 {
		return 0, false
	}
	now := s.asker.now()
	wait = math.MaxInt64
	for addr, q := range s.open {
		left := s.expiry(addr, asked).Sub(now)
		if left > 0 {
			wait = min(wait, left)
			continue
		}
		delete(s.open, addr)
		in := s.asker.inquiryTo(addr)
		in.take(q)
		if in.hasSent(q) {
			*silent = append(*silent, addr)
		}
	}
	slices.Sort(*silent)
	return wait, len(s.open) > 0
}
