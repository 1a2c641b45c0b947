package giveup

import (
	"slices"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
)

// ListingTime is how long a listing counts. It is less than the time after which callers that have
// lost a connection without a sign of it submit their jobs again.
const ListingTime = 1200 * time.Millisecond

// listing is all jobs that an entry has. Only one that is out of rotation lists its jobs. It starts no
// other job, as long as the listing counts, before the entry that has the listing knows of the job.
type listing struct {
	jobs  []string
	until boot.Time // when it no longer counts
}

// claims are the jobs that an entry has told of before it started them, and when.
type claims map[string]boot.Time

// Claim records that the entry at addr is about to start jobs.
func (a *Asker) Claim(addr string, jobs []string) {
	if len(jobs) == 0 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.claims == nil {
		a.claims = map[string]claims{}
	}
	c := a.claims[addr]
	if c == nil {
		c = claims{}
		a.claims[addr] = c
	}
	now := a.now()
	for job, at := range c {
		if now.Sub(at) > 2*ListingTime { // no listing that still counts is older
			delete(c, job)
		}
	}
	for _, job := range jobs {
		c[job] = now
	}
}

// StoreListing stores a listing of the entry at addr, which was made after the given time. It counts
// for ListingTime from then.
func (a *Asker) StoreListing(addr string, madeAfter boot.Time, jobs []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.listings == nil {
		a.listings = map[string]listing{}
	}
	if until := madeAfter.Add(ListingTime); madeAfter <= a.now() && until > a.listings[addr].until {
		a.listings[addr] = listing{jobs, until}
	}
}

// isUnlisted reports whether the entry at addr has listed its jobs, and neither the listing nor what it
// has told of since has the job.
func (a *Asker) isUnlisted(addr, job string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	l := a.listings[addr]
	_, claimed := a.claims[addr][job]
	return a.now() < l.until && !claimed && !slices.Contains(l.jobs, job)
}
