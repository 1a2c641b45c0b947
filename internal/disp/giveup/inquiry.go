package giveup

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
)

const (
	// maxCalls is the number of calls to one entry that are made one after the other while none is
	// answered. The pause before each doubles.
	maxCalls = 4
	// callTimeout is how long the answer to a call counts.
	callTimeout = 2 * time.Second
)

// purpose is what a question is for.
type purpose int

const (
	toGiveUp purpose = iota // the entry shall give up the job
	toPeek                  // it shall tell whether it has the job
	toClaim                 // it shall know that this entry starts the job, and tell whether it has it
)

// question is a question to another entry about one job.
type question struct {
	purpose  purpose
	job      string
	onSilent func()       // called when the entry does not answer in time
	onAnswer func(answer) // called with the answer, once
	sent     bool         // a call with the question has been made; guarded by inquiry.mu
}

// answer is the outcome of a question.
type answer struct {
	hasJob     bool
	orphansFor time.Duration // as in Reply
	err        error         // peer.ErrRefused, or nil
}

func newQuestion(p purpose, job string, onSilent func(), onAnswer func(answer)) *question {
	return &question{purpose: p, job: job, onSilent: onSilent, onAnswer: onAnswer}
}

// inquiry has the questions to one entry. All that wait share a call, and the next call is made
// when that has been answered: an entry that is short of processor time gets fewer calls, with more
// questions each.
type inquiry struct {
	mu      sync.Mutex
	open    []*question
	running bool          // calls are being made
	took    time.Duration // of the latest call with an answer
}

// inquiryTo returns the inquiry to the entry at addr.
func (a *Asker) inquiryTo(addr string) *inquiry {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.inquiries == nil {
		a.inquiries = map[string]*inquiry{}
	}
	in := a.inquiries[addr]
	if in == nil {
		in = &inquiry{}
		a.inquiries[addr] = in
	}
	return in
}

// enqueue adds a question for the next call to the entry at addr.
func (a *Asker) enqueue(addr string, q *question) {
	in := a.inquiryTo(addr)
	in.mu.Lock()
	defer in.mu.Unlock()
	in.open = append(in.open, q)
	if !in.running {
		in.running = true
		go a.inquire(addr, in)
	}
}

// take removes questions, and returns those that were still open. A call in progress goes on: its
// answer shows how slow the entry is.
func (in *inquiry) take(questions ...*question) (open []*question) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.open = slices.DeleteFunc(in.open, func(q *question) bool {
		taken := slices.Contains(questions, q)
		if taken {
			open = append(open, q)
		}
		return taken
	})
	return open
}

// hasSent reports whether a call with a question has been made.
func (in *inquiry) hasSent(q *question) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	return q.sent
}

// inquire makes calls to the entry at addr until no question is left.
func (a *Asker) inquire(addr string, in *inquiry) {
	for in.hasWork() {
		boot.Sleep(context.Background(), a.untilNextCall())
		if !a.askAll(addr, in) {
			boot.Sleep(context.Background(), askRetryTime)
		}
	}
}

// untilNextCall reserves a call to another entry, and returns how long to wait before it is made.
func (a *Asker) untilNextCall() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	return a.questions.reserve(now, intervalAt(a.Started, now)).Sub(now)
}

// hasWork reports whether there are questions. If there are none, inquire ends.
func (in *inquiry) hasWork() bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.running = len(in.open) > 0
	return in.running
}

// questions returns the questions that wait, and marks them as sent.
func (in *inquiry) questions() []*question {
	in.mu.Lock()
	defer in.mu.Unlock()
	for _, q := range in.open {
		q.sent = true
	}
	return slices.Clone(in.open)
}

// askAll asks the entry at addr all questions that wait. Whenever there is no answer in time it
// makes another call, with the questions that have come since as well, while the calls before go
// on. It reports whether there was an answer to one of them.
func (a *Asker) askAll(addr string, in *inquiry) bool {
	outcomes := make(chan error, maxCalls)
	for n := range maxCalls {
		questions := in.questions()
		if len(questions) == 0 {
			return true
		}
		go func() { outcomes <- a.call(addr, in, questions, n > 0) }()
		took := in.latest()
		wait := a.firstWait(addr, took) << n
		if answered(outcomes, wait) {
			return true
		}
		a.Record(addr, errNoAnswer)
		in.reportSilence()
		if more := 2*took - wait; more > 0 && answered(outcomes, more) { // a slow entry needs no other connection
			return true
		}
	}
	return false
}

// reportSilence tells all questions that the entry does not answer.
func (in *inquiry) reportSilence() {
	in.mu.Lock()
	open := slices.Clone(in.open)
	in.mu.Unlock()
	for _, q := range open {
		q.onSilent()
	}
}

// answered waits for the given time until a call has been answered, and reports whether one was. A
// call that fails ends the wait after askRetryTime.
func answered(outcomes <-chan error, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	for {
		select {
		case err := <-outcomes:
			if err == nil {
				return true
			}
			t.Reset(min(d, askRetryTime))
		case <-t.C:
			return false
		}
	}
}

// latest returns how long the latest call with an answer took.
func (in *inquiry) latest() time.Duration {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.took
}

// call asks the entry at addr the given questions in one call, and answers them. A refused
// connection is an answer too. If fresh is set, the call opens a connection.
func (a *Asker) call(addr string, in *inquiry, questions []*question, fresh bool) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	a.count(QuestionCounter)
	begin := a.now()
	order := Order{Jobs: jobsOf(questions, toGiveUp), Peek: jobsOf(questions, toPeek), Claims: jobsOf(questions, toClaim)}
	reply, err := a.Ask(ctx, addr, order, fresh)
	if isRefused(err) {
		a.Record(addr, err)
		for _, q := range in.take(questions...) {
			q.onAnswer(answer{err: err})
		}
		return nil
	}
	if err != nil {
		return err
	}
	a.Record(addr, nil)
	in.mu.Lock()
	in.took = a.now().Sub(begin)
	in.mu.Unlock()
	for _, q := range in.take(questions...) {
		has := reply.Runs
		if q.purpose == toGiveUp {
			has = reply.Has
		}
		q.onAnswer(answer{hasJob: slices.Contains(has, q.job), orphansFor: reply.OrphansFor})
	}
	return nil
}

// jobsOf returns the jobs of the questions for a purpose, each once.
func jobsOf(questions []*question, p purpose) []string {
	var jobs []string
	for _, q := range questions {
		if q.purpose == p {
			jobs = append(jobs, q.job)
		}
	}
	slices.Sort(jobs)
	return slices.Compact(jobs)
}
