package giveup

import (
	"context"
	"sync"
	"time"
)

// knownTimeout is how long an entry may take to answer whether it has a job that it need not
// have.
const knownTimeout = 100 * time.Millisecond

// GiveUpIfKnown makes those of the entries at addrs give up a job that answer soon that they
// have it, as GiveUp does. The others count as not having it.
func (a *Asker) GiveUpIfKnown(ctx context.Context, addrs []string, job string) {
	var asked sync.WaitGroup
	for _, addr := range addrs {
		if a.Silent(addr) {
			continue
		}
		asked.Go(func() {
			if a.knows(ctx, addr, job) {
				a.GiveUp(ctx, []string{addr}, job)
			}
		})
	}
	asked.Wait()
}

// knows asks an entry once to give up a job, and reports whether it answers that it has the job.
func (a *Asker) knows(ctx context.Context, addr, job string) bool {
	call, cancel := context.WithTimeout(ctx, knownTimeout)
	defer cancel()
	answers := make(chan answer, 1)
	go func() {
		reply, err := a.Ask(call, addr, job, false)
		answers <- answer{reply, err}
	}()
	got, ok := awaitAnswer(call, answers, knownTimeout)
	if ctx.Err() != nil {
		return false
	}
	if !ok {
		got.err = errNoAnswer
	}
	a.Record(addr, got.err)
	return got.err == nil && got.reply.HasJob
}
