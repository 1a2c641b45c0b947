package proc

import (
	"context"
	"slices"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/link"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/memb"
)

// maxLinks is the maximum number of nodes that an entry uses. It bounds the
// entry's calls, connections and memory whatever the size of the fleet. Each
// entry selects a different set, so every node serves several entries.
const maxLinks = 64

// updateLinks connects to the nodes selected from the known members, and retires the
// links to other nodes.
func (e *Entry) updateLinks() {
	selected := selectNodes(e.Addr, e.members.Addrs(memb.Gate), maxLinks)
	for _, addr := range selected {
		e.connect(addr)
	}
	for _, l := range e.Links() {
		if !slices.Contains(selected, l.Addr) {
			e.retire(l.Addr)
		}
	}
}

// selectNodes selects n of addrs by rendezvous hashing: those with the smallest
// hashes of self and the address. Different entries thus select different nodes,
// and an entry's selection changes little when nodes are added or removed.
func selectNodes(self string, addrs []string, n int) []string {
	if len(addrs) <= n {
		return addrs
	}
	return memb.ByHash(self+" ", addrs)[:n]
}

// recordGateContacts records when each linked node last answered. A removed node that
// answers on its retired link becomes a member again: it does not announce itself while it
// is called.
func (e *Entry) recordGateContacts() {
	now := boot.Now()
	for _, l := range e.Links() {
		e.recordGateContact(l.Addr, l.View(now).LastAnswer)
	}
	for _, l := range e.retiredLinks() {
		if v := l.View(now); v.Available {
			e.recordGateContact(l.Addr, v.LastAnswer)
		}
	}
}

// recordGateContact records that a node last answered at lastAnswer, if it ever has.
func (e *Entry) recordGateContact(addr string, lastAnswer boot.Time) {
	if lastAnswer > 0 {
		e.members.RecordContact(memb.Member{Role: memb.Gate, Addr: addr}, lastAnswer)
	}
}

// retiredLinks returns the links that are still open but not used for placements.
func (e *Entry) retiredLinks() []*link.Link {
	e.mu.Lock()
	defer e.mu.Unlock()
	var retired []*link.Link
	for _, l := range e.links {
		if l.Retired() {
			retired = append(retired, l)
		}
	}
	return retired
}

// connect makes the link to a node usable for placements. It opens one unless there is a
// link already, in use or retired. It does nothing before Run.
func (e *Entry) connect(addr string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	l := e.links[addr]
	if e.ctx == nil || l != nil && !l.Retired() {
		return
	}
	if l == nil || !l.Resume() {
		e.open(addr)
	}
	e.rebuildLinkList()
}

// open opens a link to a node that has none, or a closed one. A second link beside an open
// one would renew the lease on tasks that the first one reports as lost. The caller holds
// mu.
func (e *Entry) open(addr string) {
	if e.links == nil {
		e.links = map[string]*link.Link{}
	}
	l := &link.Link{
		Addr: addr, Entry: e.Name, Incarnation: e.Incarnation,
		Call: e.pool.Call, Drop: e.pool.Drop, Event: e.Event, Orders: &e.Orders,
		Losses: e.Coord.RecordLosses,
	}
	e.links[addr] = l
	go e.runLink(e.ctx, l)
}

// runLink runs a link until it is closed, and then removes it.
func (e *Entry) runLink(ctx context.Context, l *link.Link) {
	l.Run(ctx)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.links[l.Addr] == l {
		delete(e.links, l.Addr)
		e.rebuildLinkList()
	}
}

// retire stops the use of the link to a node for placements. The link is closed once the
// entry has no tasks there, since it cancels them and determines when they have ended.
func (e *Entry) retire(addr string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	l := e.links[addr]
	if l == nil || l.Retired() {
		return
	}
	l.Retire()
	e.rebuildLinkList()
}

// rebuildLinkList replaces linkList by the links that are not retired. It does not change
// the old list, so that callers of Links can read that without a copy. The caller holds mu.
func (e *Entry) rebuildLinkList() {
	linkList := make([]*link.Link, 0, len(e.links))
	for _, l := range e.links {
		if !l.Retired() {
			linkList = append(linkList, l)
		}
	}
	e.linkList = linkList
}
