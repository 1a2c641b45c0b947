package giveup

import (
	"context"
	"slices"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
)

// knownTimeout is how long an entry may take to answer whether it has a job that it need not have. It
// includes the wait for the call before it.
const knownTimeout = 100 * time.Millisecond

// GiveUpIfKnown makes those of the entries at addrs give up a job that answer soon that they
// have it, as GiveUp does. The others count as not having it.
func (a *Asker) GiveUpIfKnown(ctx context.Context, addrs []string, job string) {
	s := &survey{asker: a, expiry: func(_ string, asked boot.Time) boot.Time { return asked.Add(knownTimeout) }}
	has, silent := s.run(ctx, toGiveUp, slices.DeleteFunc(slices.Clone(addrs), a.Silent), job)
	for _, addr := range silent {
		a.Record(addr, errNoAnswer)
	}
	if len(has) > 0 {
		a.GiveUp(ctx, has, job)
	}
}

// Runs reports whether one of the entries at addrs answers that it has a job, or tasks of it. It waits
// for each entry for the given time at most.
func (a *Asker) Runs(ctx context.Context, addrs []string, job string, timeout func(addr string) time.Duration) bool {
	timeouts := map[string]time.Duration{}
	for _, addr := range addrs {
		timeouts[addr] = timeout(addr)
	}
	s := &survey{asker: a, first: true, expiry: func(addr string, asked boot.Time) boot.Time { return asked.Add(timeouts[addr]) }}
	has, _ := s.run(ctx, toPeek, addrs, job)
	return len(has) > 0
}
