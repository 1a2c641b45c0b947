package rules

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/coord"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/route"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/rsrc"
)

// noticeDelay is the time from the end of a stall until an entry has noticed that a caller
// left meanwhile, or until a busy one has noticed a reset. It has many requests to read then.
const noticeDelay = 30 * time.Millisecond

// jobSpec is a job that a caller submits.
type jobSpec struct {
	Tasks    int
	Work     work   // of each task
	Attempts int    // failed runs allowed for each task
	Entry    int    // index of the entry that it is submitted to first
	Route    string // empty for "r"
	// Wait is how long the caller waits for the answer to its first submission; 0 if it
	// does not say. It waits for resubmitDelay for the answers to the others.
	Wait time.Duration
	// Patient callers wait for the answers to all submissions together for Wait.
	Patient bool
	// Submissions is how often the caller submits the job before it abandons it; 0 for as
	// often as it takes.
	Submissions int
	// Reset resets the connection of the first submission while its entry, which is busy,
	// reads the request. The caller submits the job again at once.
	Reset bool
	// Hasty callers submit the job again at once, on a new connection, whenever an answer is lost.
	Hasty bool
	// Persistent callers submit a refused job again when they have been told to.
	Persistent bool

	newConnection bool // the next submission is the first on its connection
}

// submit lets a caller submit a job, and resubmit it to the next entry whenever the
// answer is lost, until the caller abandons it.
func (c *cluster) submit(id string, s jobSpec) {
	spec, err := json.Marshal(s.Work)
	if err != nil {
		panic(err)
	}
	c.checker.expect(id, s)
	callerCtx, abandon := context.WithCancel(context.Background())
	c.mu.Lock()
	c.abandonFuncs[id] = abandon
	c.mu.Unlock()
	c.callers.Add(1)
	go func() {
		defer c.callers.Done()
		waitOver := time.Now().Add(s.Wait)
		for submission := 0; callerCtx.Err() == nil; submission++ {
			entry := (s.Entry + submission) % len(c.entries)
			c.checker.submission(id, entry)
			a := c.submitOnce(callerCtx, id, entry, string(spec), s)
			if a.State != coord.Abandoned {
				c.checker.answer(id, a)
			}
			if s.Persistent && a.State == coord.Refused {
				boot.Sleep(callerCtx, max(a.RetryAfter, resubmitDelay))
				continue
			}
			if a.State != coord.Abandoned {
				return
			}
			if submission+1 == s.Submissions {
				c.checker.abandon(id)
				return
			}
			if !s.Reset {
				if !s.Hasty {
					boot.Sleep(callerCtx, resubmitDelay)
				}
				s.shortenWait(time.Until(waitOver))
			}
			if s.Wait < 0 {
				c.checker.abandon(id)
				return
			}
			s.Reset, s.newConnection = false, s.Hasty
		}
	}()
}

// shortenWait sets how long the caller waits for the answer to its next submission, if it
// says so. A patient caller that has waited in vain is left with a negative wait.
func (s *jobSpec) shortenWait(remaining time.Duration) {
	switch {
	case s.Wait == 0:
	case s.Patient:
		s.Wait = cmp.Or(remaining, -1)
	default:
		s.Wait = resubmitDelay
	}
}

// submitOnce submits a job to an entry once and returns its answer. The state of the
// answer is coord.Abandoned if the entry dies or the caller's connection breaks
// before it answers.
func (c *cluster) submitOnce(callerCtx context.Context, id string, entry int, spec string, s jobSpec) coord.Answer {
	c.mu.Lock()
	p := c.entries[entry]
	c.mu.Unlock()
	if c.awaitReset(callerCtx, entry) || p.ctx.Err() != nil {
		return coord.Answer{State: coord.Abandoned}
	}
	sentAt := time.Now()
	ctx, disconnect := context.WithCancel(context.Background())
	request, endRequest := context.WithCancel(context.Background())
	context.AfterFunc(ctx, func() {
		if c.awaitEntry(entry) || s.Reset {
			time.Sleep(noticeDelay)
		}
		endRequest()
	})
	stop := context.AfterFunc(callerCtx, disconnect)
	if s.Reset {
		disconnect()
	}
	silent := make(chan struct{})
	key := fmt.Sprintf("%d/%s", entry, id)
	c.mu.Lock()
	c.disconnects[key] = disconnect
	c.silences[key] = sync.OnceFunc(func() { close(silent) })
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.disconnects, key)
		delete(c.silences, key)
	}()
	var waitOver <-chan time.Time
	if s.Wait > 0 {
		waitOver = time.After(s.Wait)
	}
	answers := make(chan coord.Answer, 1)
	go func() {
		c.awaitEntry(entry)
		arrived, waitsUntil := c.entryNow(entry), boot.Time(0)
		if s.Wait > 0 {
			waitsUntil = arrived.Add(s.Wait)
		}
		answers <- p.coord.Submit(request, coord.Job{
			ID: id, Spec: spec, Arrived: arrived, WaitsUntil: waitsUntil, HasLeft: func() bool { return ctx.Err() != nil }, NewConnection: s.newConnection,
			Route: route.Route{Name: cmp.Or(s.Route, "r"), Service: "s", MaxAttempts: s.Attempts, MaxStretch: 1.6, LatencyMargin: 60 * time.Millisecond},
			Steps: []coord.Step{{
				Count: s.Tasks, Size: rsrc.Vector{CPU: s.Work.CPU, Memory: 1},
				DeclaredRunTime: time.Duration(s.Work.MS) * time.Millisecond,
			}},
		})
	}()
	select {
	case a := <-answers:
		disconnect()
		return a
	case <-silent:
		stop()
		go c.probeConnection(entry, c.isCut(callersPath, entry), disconnect)
		c.awaitReset(callerCtx, entry)
	case <-p.ctx.Done():
		disconnect()
		c.checkStopped(p, id, sentAt)
	case <-waitOver:
		disconnect()
	case <-ctx.Done():
	}
	return coord.Answer{State: coord.Abandoned}
}
