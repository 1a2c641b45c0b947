package proc

import (
	"context"
	"slices"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/giveup"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/msgs"
)

// giveUpJobs gives up the jobs that another entry orders this one to give up, and tells which of the
// others that the order names it has. It waits for their tasks, for drainReplyWait at most, if it has
// all the jobs; the others are not delayed by one. An order that may be old ends no job, but the rest
// of the reply is true whenever the order was sent.
func (e *Entry) giveUpJobs(m *msgs.GiveUp) msgs.GiveUpReply {
	e.asker().Claim(m.Entry, m.Claims)
	reply := msgs.GiveUpReply{OrphansFor: giveup.Orphans(e.Started, boot.Now())}
	for _, job := range slices.Concat(m.Peek, m.Claims) {
		if e.Coord.MayRun(job) {
			reply.Runs = append(reply.Runs, job)
		}
	}
	if len(m.Jobs) > 0 && e.mayBeOld(boot.Time(m.EchoedTimestamp)) {
		reply.Timestamp, reply.Has = int64(boot.Now()), m.Jobs
		return reply
	}
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	for _, job := range m.Jobs {
		if e.Coord.GiveUp(ended, job) {
			reply.Has = append(reply.Has, job)
		}
	}
	if len(reply.Has) == len(m.Jobs) && len(m.Peek)+len(m.Claims) == 0 {
		e.awaitTasks(reply.Has)
	}
	return reply
}

// awaitTasks waits until no task of the jobs can be running any more, for drainReplyWait at most.
func (e *Entry) awaitTasks(jobs []string) {
	ctx, cancel := context.WithTimeout(context.Background(), drainReplyWait)
	defer cancel()
	for _, job := range jobs {
		e.Coord.GiveUp(ctx, job)
	}
}
