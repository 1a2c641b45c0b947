package proc

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/coord"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/gate"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/giveup"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/memb"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/msgs"
)

// Names under which the services are registered with net/rpc, and the entry's
// methods.
const (
	GateServiceName  = "Gate"
	EntryServiceName = "Entry"

	helloMethod  = EntryServiceName + ".Hello"
	gossipMethod = EntryServiceName + ".Gossip"
	lookupMethod = EntryServiceName + ".Lookup"
)

// GateService has the methods of a node that entries call by net/rpc.
type GateService struct {
	gate     *gate.Gate
	lastCall atomic.Int64 // boot.Time of the last call by an entry; 0 if none
}

// Take runs a task and replies with its outcome.
func (s *GateService) Take(m *msgs.Task, reply *msgs.TaskReply) error {
	s.lastCall.Store(int64(boot.Now()))
	*reply = s.gate.Take(context.Background(), *m)
	return nil
}

// Sync renews the calling entry's lease, cancels tasks, and replies with the load.
func (s *GateService) Sync(m *msgs.Sync, reply *msgs.Load) error {
	s.lastCall.Store(int64(boot.Now()))
	*reply = s.gate.Sync(*m)
	return nil
}

// Revoke stops and refuses the tasks of jobs that the calling entry runs now.
func (s *GateService) Revoke(m *msgs.Revoke, reply *msgs.RevokeReply) error {
	s.lastCall.Store(int64(boot.Now()))
	*reply = s.gate.Revoke(*m)
	return nil
}

func (s *GateService) sinceLastCall() time.Duration {
	return boot.Now().Sub(boot.Time(s.lastCall.Load()))
}

// EntryService has the methods of an entry that nodes and other entries call by
// net/rpc.
type EntryService struct{ entry *Entry }

// Hello adds the node that announces itself to the known members.
func (s *EntryService) Hello(m *msgs.Hello, _ *msgs.Empty) error {
	s.entry.addMember(memb.Member{Role: memb.Gate, Addr: m.Addr})
	return nil
}

// Gossip exchanges members and evacuations with the calling entry, and replies with the numbers
// of pending jobs and the configuration if it is newer than the caller's.
func (s *EntryService) Gossip(m *msgs.Gossip, reply *msgs.GossipReply) error {
	s.entry.recordContact(memb.Member{Role: memb.Entry, Addr: m.Entry})
	s.entry.addMembers(m.Members)
	s.entry.applyOrders(m.Orders, m.Entry)
	if m.OutOfRotation {
		s.entry.others.Record(m.Entry)
	}
	*reply = s.entry.gossipReply(m.ConfigVersion)
	return nil
}

// Lookup replies with the state of a job, after cancelling it if m asks for that.
// The state is empty if this entry has not known of the job. If m asks for the job to be
// drained, the state is empty only when none of its tasks can be running any more, and the
// order must not have waited to be read while the process stood still: the job may have been
// submitted here again since. If m asks for the drained job without cancelling it, a job that has
// ended counts as working as long as its tasks can be running.
func (s *EntryService) Lookup(m *msgs.Lookup, reply *msgs.LookupReply) error {
	if m.Cancel && m.Drain {
		if s.entry.mayBeOld(boot.Time(m.EchoedTimestamp)) {
			reply.Timestamp = int64(boot.Now())
			return nil
		}
		ctx, cancel := context.WithTimeout(context.Background(), drainReplyWait)
		defer cancel()
		if s.entry.Coord.GiveUp(ctx, m.Job) {
			reply.State = StateCancelled
		}
		reply.OrphansFor = giveup.Orphans(s.entry.Started, boot.Now())
		return nil
	}
	if m.Cancel {
		if s.entry.Coord.Cancel(m.Job) {
			reply.State = StateCancelled
		}
		return nil
	}
	state, ok := s.entry.Coord.State(m.Job)
	switch {
	case m.Drain && (!ok || state == coord.Cancelled) && s.entry.Coord.MayRun(m.Job):
		reply.State = StateWorking
	case ok:
		reply.State = stateName(state)
	}
	return nil
}

// Job states as returned by Entry.State and sent in replies to Lookup.
const (
	StateWaiting   = "waiting"
	StateWorking   = "working"
	StateDone      = "done"
	StateFailed    = "failed"
	StateCancelled = "cancelled"
)

func stateName(s coord.State) string {
	switch s {
	case coord.Waiting:
		return StateWaiting
	case coord.Done:
		return StateDone
	case coord.Failed:
		return StateFailed
	case coord.Abandoned, coord.Cancelled, coord.Refused:
		return StateCancelled
	}
	return StateWorking
}
