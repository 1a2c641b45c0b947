package gate

import (
	"strings"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/cause"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/msgs"
)

// RevokedCounter is the name of the counter of jobs that had tasks here when they were revoked.
const RevokedCounter = "jobs.revoked"

// Revoke stops or refuses the tasks of the jobs that m lists, unless they are of the sender, and
// refuses them for revoke.Retention. A newer revocation of a job replaces an older one. If m
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
		if g.revoke(job, m.Sender) {
			reply.Running = append(reply.Running, job)
		}
	}
	return reply
}

// revoke revokes a job for all but the sender, and reports whether a task of another one may still
// run at the target.
func (g *Gate) revoke(job string, s msgs.Sender) bool {
	g.revocations.Add(job, s, g.now())
	running, stopped := g.mayHaveUnknownRun(job), false
	for _, r := range g.tasks {
		if r.isOver() || r.msg.Job != job || !g.isRevoked(r.msg) {
			continue
		}
		stopped = stopped || !r.state.Stopping()
		g.abandon(r, cause.Revoked)
		running = running || !r.isOver()
	}
	if stopped {
		g.count(RevokedCounter)
		g.trace("job_revoked", "job", job, "for", s.Entry, "running", running)
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
	_, refuses := g.revocations.Refuses(m.Job, m.Sender, g.now())
	return refuses
}
