package report

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/edge"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/gate"
)

// Path is where a process shows its Doc.
const StatusPath = "/status"

// Roles of a process.
const (
	RoleEntry = "entry"
	RoleNode  = "node"
)

// Doc is what a process tells of itself. Entry or Node is set, by its role.
type Doc struct {
	Role    string    `json:"role"`
	Name    string    `json:"name"`
	Address string    `json:"address"` // that other processes call it at
	Incarnation    string    `json:"life"`
	Uptime      int64     `json:"up"`      // ms since its start
	Dropped int64     `json:"dropped"` // log lines
	Entry   *EntryDoc `json:"entry,omitempty"`
	Node    *NodeDoc  `json:"node,omitempty"`
}

// EntryDoc is what an entry tells.
type EntryDoc struct {
	Ready   bool      `json:"ready"`
	Version int64     `json:"version"` // of the configuration in force; 0 before the first
	ConfigAge   int64     `json:"since"`   // ms for which it has been in force
	Routes  int       `json:"routes"`
	RunningJobs    int       `json:"jobs"` // that have not ended
	Entries []string  `json:"entries"`
	Gates   []GateDoc `json:"gates"`
}

// GateDoc is what an entry believes of a gate.
type GateDoc struct {
	Address string `json:"address"`
	Target  string `json:"target"`
	AnswerAge     int64  `json:"age"` // ms since the gate answered
	Usable  bool   `json:"usable"`
	CPU     int    `json:"cpu"` // thousandths of a core
	Used    int    `json:"used"`
	Queued  int64  `json:"queued"` // core-ms
	Speed   int    `json:"speed"`  // percent
	Aside   string `json:"aside"`  // reason
	Leaving bool   `json:"leaving"`
}

// NodeDoc is what a node tells.
type NodeDoc struct {
	Target  string `json:"target"` // empty before it has announced itself
	Started    int64  `json:"born"`   // Unix ms
	Service string `json:"service"`
	Leaving bool   `json:"leaving"`
	CPU     int    `json:"cpu"` // thousandths of a core
	Used    int    `json:"used"`
	Running int    `json:"running"`
	Queued  int    `json:"queued"`
	Speed   int    `json:"speed"` // percent
	Aside   string `json:"aside"` // reason
	Reconciled   bool   `json:"clean"` // nothing unknown runs at the target
	Unresponsive  bool   `json:"silent"`
	Entries int    `json:"entries"` // that have called
	Fence   int64  `json:"fence"`
}

// Process is one process and what it is made of; Entry or Gate is set.
type Process struct {
	Name    string
	Address string
	Incarnation    uint64
	Started boot.Time
	Entry   *edge.Entry
	Gate    *gate.Gate
	// Dropped returns the number of log lines dropped; nil means none.
	Dropped func() int64
}

// ServeHTTP writes the process's Doc as JSON.
func (p Process) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	// A reader that has left can't be told.
	_ = json.NewEncoder(w).Encode(p.Doc(boot.Now()))
}

// Doc returns what the process tells at now.
func (p Process) Doc(now boot.Time) Doc {
	d := Doc{Name: p.Name, Address: p.Address, Incarnation: strconv.FormatUint(p.Incarnation, 16), Uptime: now.Sub(p.Started).Milliseconds()}
	if p.Dropped != nil {
		d.Dropped = p.Dropped()
	}
	if p.Entry != nil {
		d.Role, d.Entry = RoleEntry, entryDoc(p.Entry, now)
		return d
	}
	d.Role, d.Node = RoleNode, nodeDoc(p.Gate.State())
	return d
}

func entryDoc(e *edge.Entry, now boot.Time) *EntryDoc {
	d := &EntryDoc{Ready: e.Ready(), RunningJobs: e.Coord.Running(), Entries: e.Entries()}
	if t, since := e.ActiveConfig(); t != nil {
		d.Version, d.Routes, d.ConfigAge = t.Version, len(t.Routes), now.Sub(since).Milliseconds()
	}
	for _, l := range e.Links() {
		v := l.View(now)
		d.Gates = append(d.Gates, GateDoc{
			Address: l.Addr, Target: v.Load.Target, AnswerAge: age(v.LastAnswer, now), Usable: v.Available, CPU: v.Load.CPU, Used: v.Used.CPU,
			Queued: v.Load.Queued, Speed: percent(v.Load.Speed), Aside: v.Load.Aside, Leaving: v.Load.Leaving,
		})
	}
	slices.SortFunc(d.Gates, func(a, b GateDoc) int { return strings.Compare(a.Address, b.Address) })
	return d
}

func nodeDoc(s gate.State) *NodeDoc {
	return &NodeDoc{
		Target: s.Incarnation.ID, Started: s.Incarnation.Born, Service: s.Incarnation.Service, Leaving: s.Load.Leaving,
		CPU: s.Load.CPU, Used: s.Load.UsedCPU, Running: s.Running, Queued: s.Queued, Speed: percent(s.Load.Speed),
		Aside: s.Load.Aside, Reconciled: s.Clean, Unresponsive: s.Silent, Entries: s.Entries, Fence: s.Fence,
	}
}

// age returns the ms since t, or -1 if t never was.
func age(t, now boot.Time) int64 {
	if t == 0 {
		return -1
	}
	return now.Sub(t).Milliseconds()
}

func percent(share float64) int { return int(share*100 + 0.5) }

// Age returns ms as a duration that reads well; -1 is never.
func FormatAge(ms int64) string {
	if ms < 0 {
		return "never"
	}
	return (time.Duration(ms) * time.Millisecond).Round(time.Millisecond).String()
}
