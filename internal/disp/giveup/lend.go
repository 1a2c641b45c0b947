package giveup

import (
	"context"
	"maps"
	"slices"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
)

// Lend records that the entry at addr is about to get a listing of this entry, which does not count
// there any more at until. It must be called before the jobs are listed.
func (a *Asker) Lend(addr string, until boot.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.holders == nil {
		a.holders = map[string]boot.Time{}
	}
	a.holders[addr] = max(a.holders[addr], until)
}

// HasLent reports whether another entry may rely on a listing of this one.
func (a *Asker) HasLent() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	for addr, until := range a.holders {
		if now < until {
			return true
		}
		delete(a.holders, addr)
	}
	return false
}

// Tell tells the entries that may rely on a listing of this one of a job that is about to start, and
// makes those give it up that have it. It returns when each of them knows of the job or can't rely on
// its listing any more, or when ctx ends. The job must have been registered before, so that later
// listings have it.
func (a *Asker) Tell(ctx context.Context, job string) {
	holders := map[string]boot.Time{}
	a.mu.Lock()
	now := a.now()
	for addr, until := range a.holders {
		if now < until {
			holders[addr] = until
		}
	}
	a.mu.Unlock()
	if len(holders) == 0 {
		return
	}
	s := &survey{asker: a, awaitRefused: true, expiry: func(addr string, _ boot.Time) boot.Time { return holders[addr] }}
	if has, _ := s.run(ctx, toClaim, slices.Collect(maps.Keys(holders)), job); len(has) > 0 {
		a.GiveUp(ctx, has, job)
	}
}
