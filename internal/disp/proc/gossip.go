package proc

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/memb"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/rotate"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/msgs"
)

const (
	gossipInterval = rotate.RepeatInterval
	gossipTimeout  = 400 * time.Millisecond
	// gossipFanout is the number of entries called in each round.
	gossipFanout = 2
)

// gossip starts a round: it calls randomly chosen entries to exchange members
// and evacuations, and to get a newer configuration and their numbers of pending jobs. In its first round,
// and while it is out of rotation, it calls all entries, to learn which of them are out, or so
// that each of them knows.
func (e *Entry) gossip(ctx context.Context, first bool) {
	peers := e.members.Addrs(memb.Entry)
	if !first && !e.Rotation.Out() {
		rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
		peers = peers[:min(gossipFanout, len(peers))]
	}
	for _, addr := range peers {
		go e.gossipWith(ctx, addr)
	}
}

func (e *Entry) gossipWith(ctx context.Context, addr string) {
	ctx, cancel := context.WithTimeout(ctx, gossipTimeout)
	defer cancel()
	err := e.exchange(ctx, addr)
	e.asker().Record(addr, err)
	if err != nil {
		e.pool.Drop(addr)
	}
}

// exchange makes one call for gossipWith and applies the reply.
func (e *Entry) exchange(ctx context.Context, addr string) error {
	m := &msgs.Gossip{Entry: e.Addr, Members: e.recentMembers(), ConfigVersion: e.Config.Version(), OutOfRotation: e.Rotation.Out(), Orders: e.ordersToSend()}
	reply := &msgs.GossipReply{}
	if err := e.pool.Call(ctx, addr, gossipMethod, m, reply); err != nil {
		return err
	}
	e.recordContact(memb.Member{Role: memb.Entry, Addr: addr})
	e.addMembers(reply.Members)
	e.applyOrders(reply.Orders, addr)
	e.storePending(addr, reply)
	if reply.OutOfRotation {
		e.others.Record(addr)
	}
	if len(reply.Config) == 0 || reply.ConfigVersion <= e.Config.Version() {
		return nil
	}
	t, err := e.ParseConfig(reply.Config)
	if err != nil {
		e.Event("config_invalid", "from", addr, "err", err)
		return nil
	}
	e.ApplyConfig(t, addr)
	return nil
}

// gossipReply returns the reply to an entry that has this version of the
// configuration; the reply contains the configuration only if it is newer.
func (e *Entry) gossipReply(version int64) msgs.GossipReply {
	reply := msgs.GossipReply{Members: e.recentMembers(), ConfigVersion: e.Config.Version(), OutOfRotation: e.Rotation.Out()}
	if t := e.Config.Get(); t != nil && t.Version > version {
		reply.Config = t.Raw
	}
	reply.Orders = e.ordersToSend()
	for routeName, n := range e.Coord.Pending() {
		reply.PendingRoutes = append(reply.PendingRoutes, routeName)
		reply.PendingCounts = append(reply.PendingCounts, int64(n))
	}
	return reply
}

// storePending stores the numbers of pending jobs that another entry reported.
func (e *Entry) storePending(addr string, reply *msgs.GossipReply) {
	counts := map[string]int{}
	for i, routeName := range reply.PendingRoutes {
		if i < len(reply.PendingCounts) {
			counts[routeName] = int(reply.PendingCounts[i])
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.peerPending == nil {
		e.peerPending = map[string]map[string]int{}
	}
	e.peerPending[addr] = counts
}

// recentMembers returns the members with recent contact in the form of
// memb.Member.String.
func (e *Entry) recentMembers() []string {
	var names []string
	for _, m := range e.members.Recent(boot.Now()) {
		names = append(names, m.String())
	}
	return names
}

func (e *Entry) addMembers(names []string) {
	for _, name := range names {
		if m, ok := memb.Parse(name); ok {
			e.AddMember(m)
		}
	}
}

// recordContact records that m has just answered or called.
func (e *Entry) recordContact(m memb.Member) {
	e.addMember(m)
	e.members.RecordContact(m, boot.Now())
	e.asker().Heard(m.Addr)
}

// removePeerState deletes what is stored about another entry.
func (e *Entry) removePeerState(addr string) {
	e.asker().Forget(addr)
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.peerPending, addr)
}
