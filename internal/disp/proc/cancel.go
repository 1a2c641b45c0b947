package proc

import (
	"context"
	"errors"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/cancel"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/memb"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/msgs"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/peer"
)

const (
	// cancelRetryInterval is the pause between two attempts to tell an entry of a cancellation.
	cancelRetryInterval = 500 * time.Millisecond
	// maxCancelRetries is the number of cancellations that silent entries are told at a time.
	maxCancelRetries = 1000
)

// Cancel cancels the job with this ID at whichever entry has it, or gets it later. It reports false
// only if it is certain that no entry has known of the job: one that does not answer may have it,
// or have its request still to read, and is told again until it does.
func (e *Entry) Cancel(ctx context.Context, job string) bool {
	known := e.Coord.Cancel(job)
	peers := e.members.Addrs(memb.Entry)
	found := make(chan bool, len(peers))
	for _, addr := range peers {
		go func() { found <- e.cancelAt(addr, job) }()
	}
	for range peers {
		if known {
			break
		}
		select {
		case known = <-found:
		case <-ctx.Done():
			return true
		}
	}
	return known
}

// cancelAt tells the entry at addr of a cancellation, again if it does not answer. It reports
// whether that entry has known of the job, or may have: one that refuses connections has no job.
func (e *Entry) cancelAt(addr, job string) bool {
	known, err := e.orderCancel(addr, job)
	if err == nil {
		return known
	}
	if e.cancelRetries.Add(1) <= maxCancelRetries {
		go e.repeatCancel(addr, job)
	} else {
		e.cancelRetries.Add(-1)
		e.Event("cancel_dropped", "job", job, "entry", addr, "err", err)
	}
	return !errors.Is(err, peer.ErrRefused)
}

// repeatCancel tells the entry at addr of a cancellation until it answers, is no member any more,
// or would not remember it for longer.
func (e *Entry) repeatCancel(addr, job string) {
	defer e.cancelRetries.Add(-1)
	ctx := e.runContext()
	until := boot.Now().Add(cancel.Retention)
	for ctx.Err() == nil && boot.Now() < until && e.members.Has(memb.Member{Role: memb.Entry, Addr: addr}) {
		boot.Sleep(ctx, cancelRetryInterval)
		if _, err := e.orderCancel(addr, job); err == nil {
			e.Event("cancel_told", "job", job, "entry", addr)
			return
		}
	}
}

// orderCancel makes one call for cancelAt, and reports whether the entry at addr has known of the job.
func (e *Entry) orderCancel(addr, job string) (bool, error) {
	ctx, stop := context.WithTimeout(e.runContext(), lookupTimeout)
	defer stop()
	reply := &msgs.LookupReply{}
	if err := e.pool.Call(ctx, addr, lookupMethod, &msgs.Lookup{Job: job, Cancel: true}, reply); err != nil {
		return false, err
	}
	return reply.State != "", nil
}

// runContext returns the context of Run, or one without an end before Run.
func (e *Entry) runContext() context.Context {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ctx == nil {
		return context.Background()
	}
	return e.ctx
}
