// Package revoke has the revocations of jobs at a gate: which jobs only one incarnation of an entry
// may run there, since it has them now.
//
// The package reads no clock and does no I/O.
package revoke

import (
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/msgs"
)

// Retention is how long the tasks of a revoked job are refused. An entry that has the job and has
// lost its gates places its tasks again when it reaches one, after gate.MaxOrphanTime at the earliest.
const Retention = 5 * time.Second

// Table holds the revocations of a gate. The zero value is empty. It is not safe for concurrent use.
type Table struct{ jobs map[string]revocation }

// revocation is an order to run a job for one incarnation of an entry only.
type revocation struct {
	entry       string
	incarnation uint64
	at          boot.Time
}

// Add revokes a job at now for all but the sender, in place of an older revocation.
func (t *Table) Add(job string, s msgs.Sender, now boot.Time) {
	if t.jobs == nil {
		t.jobs = map[string]revocation{}
	}
	t.jobs[job] = revocation{s.Entry, s.Incarnation, now}
}

// Refuses reports whether tasks of a job are refused to a sender at now, and for how long the job has
// been revoked then.
func (t *Table) Refuses(job string, s msgs.Sender, now boot.Time) (revokedFor time.Duration, refuses bool) {
	v, ok := t.jobs[job]
	if !ok || v.expired(now) || v.entry == s.Entry && v.incarnation == s.Incarnation {
		return 0, false
	}
	return now.Sub(v.at), true
}

// Forget removes the revocations that hold no longer at now.
func (t *Table) Forget(now boot.Time) {
	for job, v := range t.jobs {
		if v.expired(now) {
			delete(t.jobs, job)
		}
	}
}

// expired reports whether v holds no longer at now.
func (v revocation) expired(now boot.Time) bool { return now.Sub(v.at) >= Retention }
