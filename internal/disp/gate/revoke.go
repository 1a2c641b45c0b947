package gate

import (
	"strings"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/cause"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/msgs"
)

// revocationRetention is how long the tasks of a revoked job are refused. An entry that has the
// job and has lost its gates places its tasks again when it reaches one, after MaxOrphanTime at
// the earliest.
const revocationRetention = 5 * time.Second

// RevokedCounter is the name of the counter of jobs that had tasks here when they were revoked.
const RevokedCounter = "jobs.revoked"

// revocation is an order to run a job for one incarnation of an entry only.
type revocation struct {
	entry       string
	incarnation uint64
	at          boot.Time
}

// allows reports whether the revocation leaves a task to its sender.
func (v revocation) allows(s msgs.Sender) bool {
	return v.entry == s.Entry && v.incarnation == s.Incarnation
}

// Revoke stops or refuses the tasks of the jobs that m lists, unless they are of the sender, and
// refuses them for revocationRetention. A newer revocation of a job replaces an older one. If m
// is for another incarnation of the gate, or its timestamp is older than EntryLease, Revoke does
// nothing: a later submission of the job may run here.
func (g *Gate) Revoke(m msgs.Revoke) msgs.RevokeReply {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	reply := msgs.RevokeReply{Incarnation: g.IncarnationID, Timestamp: int64(now)}
	if m.GateIncarnation != g.IncarnationID || now >= boot.Time(m.EchoedTimestamp).Add(EntryLease) {
		return reply
	}
	reply.Applied = true
	for _, job := range m.Jobs {
		if g.revoke(job, revocation{m.Entry, m.Incarnation, now}) {
			reply.Running = append(reply.Running, job)
		}
	}
	return reply
}

// revoke applies a revocation of a job, and reports whether a task that it does not allow may
// still run at the target.
func (g *Gate) revoke(job string, v revocation) bool {
	if g.revocations == nil {
		g.revocations = map[string]revocation{}
	}
	g.revocations[job] = v
	running, stopped := g.mayHaveUnknownRun(job), false
	for _, r := range g.tasks {
		if r.isOver() || r.msg.Job != job || v.allows(r.msg.Sender) {
			continue
		}
		stopped = stopped || !r.state.Stopping()
		g.abandon(r, cause.Revoked)
		running = running || !r.isOver()
	}
	if stopped {
		g.count(RevokedCounter)
		g.trace("job_revoked", "job", job, "for", v.entry, "running", running)
	}
	return running
}

// mayHaveUnknownRun reports whether a run of the job that an earlier process of this gate
// started may be at the target. It has ended with the leases even if the target does not answer.
func (g *Gate) mayHaveUnknownRun(job string) bool {
	if g.unknownRunsLapsed() {
		return false
	}
	if !g.surveyed {
		return true
	}
	for task := range g.unknownRuns {
		if strings.HasPrefix(task, job+".") {
			return true
		}
	}
	return false
}

// unknownRunsLapsed reports whether the leases on the runs of earlier processes have lapsed, at a
// target that is silent or has not been surveyed: those that they gave, and those of this process.
func (g *Gate) unknownRunsLapsed() bool {
	if g.surveyed && !g.silent {
		return false
	}
	ownEnd := g.leaseEnd.Add(stopSlack + restartedLeaseExcess)
	return g.runSince != 0 && g.steady() >= max(ownEnd, g.runSince.Add(MaxOrphanTime))
}

// isRevoked reports whether a task of the job of m is refused since the job was revoked.
func (g *Gate) isRevoked(m msgs.Task) bool {
	v, ok := g.revocations[m.Job]
	return ok && !v.expired(g.now()) && !v.allows(m.Sender)
}

// revokedFor returns for how long the job of m has been revoked; 0 if it is not.
func (g *Gate) revokedFor(m msgs.Task) time.Duration {
	if !g.isRevoked(m) {
		return 0
	}
	return g.now().Sub(g.revocations[m.Job].at)
}

// expired reports whether v holds no longer at now.
func (v revocation) expired(now boot.Time) bool { return now.Sub(v.at) >= revocationRetention }

// forgetRevocations removes the revocations that have expired.
func (g *Gate) forgetRevocations(now boot.Time) {
	for job, v := range g.revocations {
		if v.expired(now) {
			delete(g.revocations, job)
		}
	}
}
