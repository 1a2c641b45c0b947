package edge

import (
	"cmp"
	"context"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/link"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/memb"
)

// mostLinks is the number of nodes that an entry uses. Each entry draws its
// own, so every node serves several, and an entry's calls, connections and
// memory stay bounded whatever the size of the fleet.
const mostLinks = 64

// line is a link and what ends it.
type line struct {
	link *link.Link
	stop context.CancelFunc
}

// choose connects to the nodes that this entry draws from those known, and
// gives up links to others once no task is there.
func (e *Entry) choose() {
	wanted := draw(e.Addr, e.members.Addrs(memb.Gate), mostLinks)
	for _, addr := range wanted {
		e.connect(addr)
	}
	for _, l := range e.Links() {
		if !slices.Contains(wanted, l.Addr) && !l.HasTasks() {
			e.disconnect(l.Addr)
		}
	}
}

// draw returns the n of all that rank first by a hash of them and self, so that
// entries draw differently, and draw nearly the same again when some come or go.
func draw(self string, all []string, n int) []string {
	if len(all) <= n {
		return all
	}
	type lot struct {
		addr   string
		weight uint64
	}
	lots := make([]lot, 0, len(all))
	for _, addr := range all {
		lots = append(lots, lot{addr, xxhash.Sum64String(self + " " + addr)})
	}
	slices.SortFunc(lots, func(a, b lot) int { return cmp.Compare(a.weight, b.weight) })
	drawn := make([]string, 0, n)
	for _, l := range lots[:n] {
		drawn = append(drawn, l.addr)
	}
	return drawn
}

// hearGates notes which nodes answered lately.
func (e *Entry) hearGates() {
	now := boot.Now()
	for _, l := range e.Links() {
		if heard := l.View(now).LastAnswer; heard > 0 {
			e.members.RecordContact(memb.Member{Role: memb.Gate, Addr: l.Addr}, heard)
		}
	}
}

// connect opens a link to a node.
func (e *Entry) connect(addr string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ctx == nil || e.links[addr] != nil {
		return
	}
	if e.links == nil {
		e.links = map[string]*line{}
	}
	ctx, stop := context.WithCancel(e.ctx)
	l := &link.Link{
		Addr: addr, Entry: e.Name, Incarnation: e.Incarnation,
		Call: e.pool.Call, Drop: e.pool.Drop, Event: e.Event,
	}
	e.links[addr] = &line{l, stop}
	e.relist()
	go l.Run(ctx)
}

func (e *Entry) disconnect(addr string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if known := e.links[addr]; known != nil {
		known.stop()
		delete(e.links, addr)
		e.relist()
	}
}

// relist makes the list of links anew, so that readers need no copy.
func (e *Entry) relist() {
	list := make([]*link.Link, 0, len(e.links))
	for _, known := range e.links {
		list = append(list, known.link)
	}
	e.list = list
}
