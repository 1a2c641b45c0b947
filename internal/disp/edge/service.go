package edge

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/coord"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/gate"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/memb"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/msgs"
)

// Names under which the services are registered, and methods of the entry's.
const (
	GateServiceName  = "Gate"
	EntryServiceName = "Entry"

	helloMethod  = EntryServiceName + ".Hello"
	gossipMethod = EntryServiceName + ".Gossip"
	lookupMethod = EntryServiceName + ".Lookup"
)

// GateService is what entries call at a node by net/rpc.
type GateService struct {
	gate  *gate.Gate
	heard atomic.Int64 // boot.Time of the last call
}

// Take runs a task.
func (s *GateService) Take(m *msgs.Task, reply *msgs.TaskReply) error {
	s.heard.Store(int64(boot.Now()))
	*reply = s.gate.Take(context.Background(), *m)
	return nil
}

// Sync renews the caller's lease and tells the load.
func (s *GateService) Sync(m *msgs.Sync, reply *msgs.Load) error {
	s.heard.Store(int64(boot.Now()))
	*reply = s.gate.Sync(*m)
	return nil
}

func (s *GateService) quietFor() time.Duration {
	return boot.Now().Sub(boot.Time(s.heard.Load()))
}

// EntryService is what nodes and other entries call at an entry by net/rpc.
type EntryService struct{ entry *Entry }

// Hello takes in a node's announcement.
func (s *EntryService) Hello(m *msgs.Hello, _ *msgs.Empty) error {
	s.entry.AddMember(memb.Member{Role: memb.Gate, Addr: m.Addr})
	return nil
}

// Gossip exchanges what two entries know.
func (s *EntryService) Gossip(m *msgs.Gossip, reply *msgs.GossipReply) error {
	s.entry.hear(memb.Member{Role: memb.Entry, Addr: m.Entry})
	s.entry.takeMembers(m.Members)
	*reply = s.entry.tell(m.Version)
	return nil
}

// Lookup tells the state of a job or cancels it.
func (s *EntryService) Lookup(m *msgs.Lookup, reply *msgs.LookupReply) error {
	if m.Cancel && s.entry.Coord.Cancel(m.Job) {
		reply.State = StateCancelled
		return nil
	}
	if state, ok := s.entry.Coord.State(m.Job); ok {
		reply.State = stateName(state)
	}
	return nil
}

// Names of a job's states between entries.
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
	case coord.Abandoned, coord.Refused:
		return StateCancelled
	}
	return StateWorking
}
