package report

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/gate"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/proc"
)

// StatusPath is the HTTP path at which a process serves its Doc.
const StatusPath = "/status"

// Roles of a process.
const (
	RoleEntry = "entry"
	RoleNode  = "node"
)

// Doc is the status of a process as a JSON document. Entry or Node is set,
// depending on Role.
type Doc struct {
	Role        string    `json:"role"`
	Name        string    `json:"name"`
	Address     string    `json:"address"` // at which other processes call it
	Incarnation string    `json:"life"`    // hexadecimal
	Uptime      int64     `json:"up"`      // ms since the process started
	Dropped     int64     `json:"dropped"` // log lines that were not written
	Entry       *EntryDoc `json:"entry,omitempty"`
	Node        *NodeDoc  `json:"node,omitempty"`
}

// EntryDoc is the status of an entry.
type EntryDoc struct {
	Ready       bool      `json:"ready"`     // jobs can be served
	Version     int64     `json:"version"`   // of the active configuration; 0 before the first
	ConfigAge   int64     `json:"since"`     // ms since the configuration became active
	Routes      int       `json:"routes"`    // in the active configuration
	RunningJobs int       `json:"jobs"`      // jobs that have not ended
	Entries     []string  `json:"entries"`   // addresses of the other known entries
	Gates       []GateDoc `json:"gates"`     // by address
	Evacuated   []string  `json:"evacuated"` // failure domains, in order
	// Interference lists the pairs in force, by service, as of the latest placement.
	Interference []InterferenceDoc `json:"interference,omitempty"`
}

// GateDoc is what an entry knows about a gate.
type GateDoc struct {
	Address   string `json:"address"`
	Target    string `json:"target"`    // ID; empty if the gate has none
	AnswerAge int64  `json:"age"`       // ms since the gate last answered; -1 if never
	Usable    bool   `json:"usable"`    // the load is recent and the gate accepts tasks
	CPU       int    `json:"cpu"`       // of the target, thousandths of a core
	Used      int    `json:"used"`      // in use, thousandths of a core
	Queued    int64  `json:"queued"`    // core-milliseconds of work in the gate's queue
	Speed     int    `json:"speed"`     // of the target, percent of the nominal speed
	Aside     string `json:"aside"`     // why tasks should go elsewhere, such as an open circuit breaker; or empty
	Leaving   bool   `json:"leaving"`   // the gate accepts no further tasks
	Domain    string `json:"domain"`    // failure domain of the target; empty if unknown
	Evacuated bool   `json:"evacuated"` // the gate's failure domain is evacuated
}

// NodeDoc is the status of a node and its target.
type NodeDoc struct {
	Target       string `json:"target"`    // ID; empty before the target has announced itself
	Started      int64  `json:"born"`      // when the target started, Unix ms
	Service      string `json:"service"`   // of the target
	Leaving      bool   `json:"leaving"`   // the node accepts no further tasks
	CPU          int    `json:"cpu"`       // of the target, thousandths of a core
	Used         int    `json:"used"`      // in use, thousandths of a core
	Running      int    `json:"running"`   // tasks at the target
	Queued       int    `json:"queued"`    // tasks waiting for capacity
	Speed        int    `json:"speed"`     // of the target, percent of the nominal speed
	Aside        string `json:"aside"`     // as in GateDoc
	Reconciled   bool   `json:"clean"`     // no unknown runs are left at the target
	Unresponsive bool   `json:"silent"`    // the target does not answer long polls
	Entries      int    `json:"entries"`   // entries that have called recently
	ColdFor      int    `json:"cold"`      // ms for which the target is still slow after its start, or after it was without work
	Fence        int64  `json:"fence"`     // fencing token of the orders to the target
	Domain       string `json:"domain"`    // as in GateDoc
	Evacuated    bool   `json:"evacuated"` // as in GateDoc
	// Interference lists the pairs that the node has found or suspects.
	Interference []InterferenceDoc `json:"interference,omitempty"`
}

// Process serves the status of one process. Entry or Gate is set.
type Process struct {
	Name        string
	Address     string
	Incarnation uint64
	Started     boot.Time
	Entry       *proc.Entry
	Gate        *gate.Gate
	// Dropped returns the number of log lines that were not written; nil means
	// that all were.
	Dropped func() int64
}

// ServeHTTP writes the process's Doc as JSON.
func (p Process) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	// An error means that the client is gone, so it can't be reported to it.
	_ = json.NewEncoder(w).Encode(p.Doc(boot.Now()))
}

// Doc returns the status of the process at now.
func (p Process) Doc(now boot.Time) Doc {
	d := Doc{Name: p.Name, Address: p.Address, Incarnation: strconv.FormatUint(p.Incarnation, 16), Uptime: now.Sub(p.Started).Milliseconds()}
	if p.Dropped != nil {
		d.Dropped = p.Dropped()
	}
	if p.Entry != nil {
		d.Role, d.Entry = RoleEntry, newEntryDoc(p.Entry, now)
		return d
	}
	d.Role, d.Node = RoleNode, newNodeDoc(p.Gate.State())
	return d
}

func newEntryDoc(e *proc.Entry, now boot.Time) *EntryDoc {
	d := &EntryDoc{Ready: e.Ready(), RunningJobs: e.Coord.Running(), Entries: e.Entries(), Evacuated: e.Orders.Evacuated()}
	if t, activeSince := e.ActiveConfig(); t != nil {
		d.Version, d.Routes, d.ConfigAge = t.Version, len(t.Routes), now.Sub(activeSince).Milliseconds()
	}
	for _, l := range e.Links() {
		v := l.View(now)
		d.Gates = append(d.Gates, GateDoc{
			Address: l.Addr, Target: v.Load.TargetIncarnation, AnswerAge: millisSince(v.LastAnswer, now), Usable: v.Available, CPU: v.Load.CPU, Used: v.Used.CPU,
			Queued: v.Load.QueuedWork, Speed: toPercent(v.Load.Speed), Aside: v.Load.BlockedReason, Leaving: v.Load.Leaving,
			Domain: v.Load.Domain, Evacuated: v.Evacuated,
		})
	}
	for _, p := range e.Coord.Interference() {
		d.Interference = append(d.Interference, InterferenceDoc{p.Service, p.Slowed, p.By, p.Percent(), int(p.Evidence)})
	}
	slices.SortFunc(d.Gates, func(a, b GateDoc) int { return strings.Compare(a.Address, b.Address) })
	return d
}

func newNodeDoc(s gate.State) *NodeDoc {
	return &NodeDoc{
		Interference: interferenceDocs(s),
		Target:       s.Incarnation.ID, Started: s.Incarnation.Born, Service: s.Incarnation.Service, Leaving: s.Load.Leaving,
		CPU: s.Load.CPU, Used: s.Load.UsedCPU, Running: s.Running, Queued: s.Queued, Speed: toPercent(s.Load.Speed),
		Aside: s.Load.BlockedReason, Reconciled: s.Reconciled, Unresponsive: s.Unresponsive, Entries: s.Entries, Fence: s.Fence,
		Domain: s.Load.Domain, Evacuated: s.Evacuated, ColdFor: s.Load.ColdFor,
	}
}

// millisSince returns the milliseconds from t to now, or -1 if t is 0.
func millisSince(t, now boot.Time) int64 {
	if t == 0 {
		return -1
	}
	return now.Sub(t).Milliseconds()
}

func toPercent(fraction float64) int { return int(fraction*100 + 0.5) }

// FormatAge formats an age in milliseconds, as in a Doc, for display; a negative
// age is "never".
func FormatAge(ms int64) string {
	if ms < 0 {
		return "never"
	}
	return (time.Duration(ms) * time.Millisecond).Round(time.Millisecond).String()
}
