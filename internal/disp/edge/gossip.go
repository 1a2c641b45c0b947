package edge

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/memb"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/msgs"
)

const (
	gossipEvery   = 500 * time.Millisecond
	gossipTimeout = 400 * time.Millisecond
	// gossipPeers is the number of entries that are asked each time.
	gossipPeers = 2
)

// gossip exchanges what is known with some other entries.
func (e *Entry) gossip(ctx context.Context) {
	peers := e.members.Addrs(memb.Entry)
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, addr := range peers[:min(gossipPeers, len(peers))] {
		go e.gossipWith(ctx, addr)
	}
}

func (e *Entry) gossipWith(ctx context.Context, addr string) {
	ctx, cancel := context.WithTimeout(ctx, gossipTimeout)
	defer cancel()
	m := &msgs.Gossip{Entry: e.Addr, Members: e.fresh(), Version: e.Config.Version()}
	reply := &msgs.GossipReply{}
	err := e.pool.Call(ctx, addr, gossipMethod, m, reply)
	e.peerAnswered(addr, err)
	if err != nil {
		e.pool.Drop(addr)
		return
	}
	e.hear(memb.Member{Role: memb.Entry, Addr: addr})
	e.takeMembers(reply.Members)
	e.takePending(addr, reply)
	if len(reply.Config) == 0 || reply.Version <= e.Config.Version() {
		return
	}
	t, err := e.ParseConfig(reply.Config)
	if err != nil {
		e.Event("config_invalid", "from", addr, "err", err)
		return
	}
	e.ApplyConfig(t, addr)
}

// peerAnswered logs when another entry stops answering, or answers again.
func (e *Entry) peerAnswered(addr string, err error) {
	e.mu.Lock()
	if e.silent == nil {
		e.silent = map[string]bool{}
	}
	changed := e.silent[addr] != (err != nil)
	if err != nil {
		e.silent[addr] = true
	} else {
		delete(e.silent, addr)
	}
	e.mu.Unlock()
	switch {
	case changed && err != nil:
		e.Event("entry_silent", "peer", addr, "err", err)
	case changed:
		e.Event("entry_answers", "peer", addr)
	}
}

// tell answers another entry that has the configuration of the given version.
func (e *Entry) tell(version int64) msgs.GossipReply {
	reply := msgs.GossipReply{Members: e.fresh(), Version: e.Config.Version()}
	if t := e.Config.Get(); t != nil && t.Version > version {
		reply.Config = t.Raw
	}
	for name, n := range e.Coord.Pending() {
		reply.Pending = append(reply.Pending, name)
		reply.Counts = append(reply.Counts, int64(n))
	}
	return reply
}

func (e *Entry) takePending(addr string, reply *msgs.GossipReply) {
	counts := map[string]int{}
	for i, name := range reply.Pending {
		if i < len(reply.Counts) {
			counts[name] = int(reply.Counts[i])
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.pending == nil {
		e.pending = map[string]map[string]int{}
	}
	e.pending[addr] = counts
}

func (e *Entry) fresh() []string {
	var names []string
	for _, m := range e.members.Recent(boot.Now()) {
		names = append(names, m.String())
	}
	return names
}

func (e *Entry) takeMembers(names []string) {
	for _, name := range names {
		if m, ok := memb.Parse(name); ok {
			e.AddMember(m)
		}
	}
}

func (e *Entry) hear(m memb.Member) {
	e.AddMember(m)
	e.members.RecordContact(m, boot.Now())
}

// forgetPeer drops what is kept of another entry.
func (e *Entry) forgetPeer(addr string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.silent, addr)
	delete(e.pending, addr)
}
