package giveup

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
)

// survey asks several entries one question each. It needs one goroutine, whatever their number.
type survey struct {
	asker *Asker
	// expiry returns when the entry at addr is no longer waited for, given when it was asked, and
	// when the question was sent; 0 if it was not yet.
	expiry func(addr string, asked, sent boot.Time) boot.Time
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

// maxSurveyWait is the longest time between two looks at which questions have been sent.
const maxSurveyWait = 50 * time.Millisecond

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
	wait = maxSurveyWait
	for addr, q := range s.open {
		in := s.asker.inquiryTo(addr)
		sent := in.sentAt(q)
		left := s.expiry(addr, asked, sent).Sub(now)
		if left > 0 {
			wait = min(wait, left)
			continue
		}
		delete(s.open, addr)
		in.take(q)
		if sent != 0 {
			*silent = append(*silent, addr)
		}
	}
	slices.Sort(*silent)
	return wait, len(s.open) > 0
}
