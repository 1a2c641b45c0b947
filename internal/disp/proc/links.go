package proc

import (
	"cmp"
	"context"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/link"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/memb"
)

// maxLinks is the maximum number of nodes that an entry uses. It bounds the
// entry's calls, connections and memory whatever the size of the fleet. Each
// entry selects a different set, so every node serves several entries.
const maxLinks = 64

// activeLink is a link and the function that ends its Run.
type activeLink struct {
	link   *link.Link
	cancel context.CancelFunc
}

// updateLinks connects to the nodes selected from the known members, and closes
// links to other nodes that have no tasks of this entry.
func (e *Entry) updateLinks() {
	selected := selectNodes(e.Addr, e.members.Addrs(memb.Gate), maxLinks)
	for _, addr := range selected {
		e.connect(addr)
	}
	for _, l := range e.Links() {
		if !slices.Contains(selected, l.Addr) && !l.HasTasks() {
			e.disconnect(l.Addr)
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
	type candidate struct {
		addr string
		hash uint64
	}
	candidates := make([]candidate, 0, len(addrs))
	for _, addr := range addrs {
		candidates = append(candidates, candidate{addr, xxhash.Sum64String(self + " " + addr)})
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.hash, b.hash) })
	selected := make([]string, 0, n)
	for _, c := range candidates[:n] {
		selected = append(selected, c.addr)
	}
	return selected
}

// recordGateContacts records when each linked node last answered.
func (e *Entry) recordGateContacts() {
	now := boot.Now()
	for _, l := range e.Links() {
		if lastAnswer := l.View(now).LastAnswer; lastAnswer > 0 {
			e.members.RecordContact(memb.Member{Role: memb.Gate, Addr: l.Addr}, lastAnswer)
		}
	}
}

// connect opens a link to a node unless there is one. It does nothing before Run.
func (e *Entry) connect(addr string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ctx == nil || e.links[addr] != nil {
		return
	}
	if e.links == nil {
		e.links = map[string]*activeLink{}
	}
	ctx, cancel := context.WithCancel(e.ctx)
	l := &link.Link{
		Addr: addr, Entry: e.Name, Incarnation: e.Incarnation,
		Call: e.pool.Call, Drop: e.pool.Drop, Event: e.Event,
	}
	e.links[addr] = &activeLink{l, cancel}
	e.rebuildLinkList()
	go l.Run(ctx)
}

func (e *Entry) disconnect(addr string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if active := e.links[addr]; active != nil {
		active.cancel()
		delete(e.links, addr)
		e.rebuildLinkList()
	}
}

// rebuildLinkList replaces linkList instead of changing it, so that callers of
// Links can read the old one without a copy. The caller holds mu.
func (e *Entry) rebuildLinkList() {
	linkList := make([]*link.Link, 0, len(e.links))
	for _, active := range e.links {
		linkList = append(linkList, active.link)
	}
	e.linkList = linkList
}
