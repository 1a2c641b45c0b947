package giveup

import (
	"errors"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/peer"
)

const (
	// answerWait is how long an entry is waited for before it counts as silent, and is asked
	// once more, on another connection, since a connection may go silent while new ones work.
	// The first call goes on, since an entry may be slow.
	answerWait = 200 * time.Millisecond
	// slowAnswerWait is the longest time that replaces answerWait for an entry that is slow: slowFactor
	// times what its latest answer took. An entry that is slow itself finds all others slow.
	slowAnswerWait = 600 * time.Millisecond
	slowFactor     = 3
	// silentAnswerWait replaces answerWait for an entry that has not answered before either.
	silentAnswerWait = 100 * time.Millisecond
)

// errNoAnswer means that another entry has not answered an order to give up a job.
var errNoAnswer = merry.Sentinel("no answer to an order to give up a job")

// firstWait returns how long to wait for the first answer of the entry at addr, whose latest answer
// took the given time.
func (a *Asker) firstWait(addr string, took time.Duration) time.Duration {
	if a.Silent(addr) {
		return silentAnswerWait
	}
	return max(answerWait, min(slowFactor*took, slowAnswerWait))
}

// isRefused reports whether a call has failed since no process accepts connections.
func isRefused(err error) bool { return errors.Is(err, peer.ErrRefused) }
