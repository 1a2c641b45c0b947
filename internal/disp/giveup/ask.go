package giveup

import (
	"context"
	"errors"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/peer"
)

const (
	// answerWait is how long an entry is waited for before it is asked once more, on
	// another connection, since a connection may go silent while new ones work. The first call
	// goes on, since an entry may be slow.
	answerWait = 200 * time.Millisecond
	// silentAnswerWait replaces answerWait for an entry that has not answered before either.
	silentAnswerWait = 100 * time.Millisecond
	// maxCalls is the number of calls to one entry at a time. The pause before each doubles.
	maxCalls     = 4
	askRetryTime = 10 * time.Millisecond // before an entry is asked again
)

// errNoAnswer means that another entry has not answered an order to give up a job.
var errNoAnswer = merry.Sentinel("no answer to an order to give up a job")

// answer is the outcome of one call to an entry.
type answer struct {
	reply Reply
	err   error
}

// ask asks an entry to give up a job. It makes another call whenever there is no answer for the
// given wait, which doubles, and returns the first answer to any of them. It calls askGates
// when the first call has no answer.
func (a *Asker) ask(ctx context.Context, addr, job string, wait time.Duration, askGates func()) (Reply, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan answer, maxCalls)
	for n := range maxCalls {
		go func() {
			reply, err := a.Ask(ctx, addr, job, n > 0)
			answers <- answer{reply, err}
		}()
		got, ok := awaitAnswer(ctx, answers, wait)
		if ctx.Err() != nil {
			return Reply{}, errNoAnswer
		}
		if ok && (got.err == nil || isRefused(got.err)) {
			a.Record(addr, got.err)
			return got.reply, got.err
		}
		a.Record(addr, errNoAnswer)
		askGates()
		wait *= 2
	}
	return Reply{}, errNoAnswer
}

// awaitAnswer waits for an answer for the given time, or until ctx ends. It reports false if
// there is none.
func awaitAnswer(ctx context.Context, answers <-chan answer, d time.Duration) (answer, bool) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case got := <-answers:
		return got, true
	case <-t.C:
	case <-ctx.Done():
	}
	return answer{}, false
}

// firstWait returns how long to wait for the first answer of the entry at addr.
func (a *Asker) firstWait(addr string) time.Duration {
	if a.Silent(addr) {
		return silentAnswerWait
	}
	return answerWait
}

// isRefused reports whether a call has failed since no process accepts connections.
func isRefused(err error) bool { return errors.Is(err, peer.ErrRefused) }
