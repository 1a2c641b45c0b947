package web

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/gypsumlanding/gypsumlanding/internal/core/catlg"
	"github.com/gypsumlanding/gypsumlanding/internal/core/roster"
	"github.com/gypsumlanding/gypsumlanding/internal/entry/edit"
	"github.com/gypsumlanding/gypsumlanding/internal/entry/roll"
	"github.com/gypsumlanding/gypsumlanding/internal/plat/table"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/view"
	"github.com/gypsumlanding/gypsumlanding/pkg/jobkey"
)

const maxEdit = 64 << 10 // bytes

// Oper serves operators. All fields must be set before use.
type OperatorAPI struct {
	ID           string
	Region       string
	View         *view.View
	Editor       *edit.Editor
	RosterWriter *roll.Writer
}

// Serve adds the operators' routes to srv.
func (o *OperatorAPI) Serve(srv *khttp.Server) {
	r := srv.Route("/")
	r.GET("/v1/catalogue", o.list)
	r.GET("/v1/catalogue/{name}", o.get)
	r.PUT("/v1/catalogue/{name}", o.put)
	r.DELETE("/v1/catalogue/{name}", o.remove)
	r.GET("/v1/history", o.history)
	r.GET("/v1/status", o.status)
	r.POST("/v1/drain/{node}", o.drain)
}

// EntryDoc is a catalogue entry as operators see it.
type EntryDoc struct {
	Name    string    `json:"name"`
	Owner   string    `json:"owner"`
	Class   string    `json:"class"`
	Service string    `json:"service"`
	Limits  LimitsDoc `json:"limits"`
	Version uint64    `json:"version"`
	Deleted bool      `json:"deleted,omitempty"`
}

// LimitsDoc is the limits of an entry; 0 means the largest value.
type LimitsDoc struct {
	Tasks   int   `json:"tasks"`
	Running int   `json:"running"`
	Rate    int   `json:"rate"`
	Timeout int64 `json:"timeout"` // ms
}

// CatalogueDoc is the catalogue as operators see it.
type CatalogueDoc struct {
	Version uint64     `json:"version"`
	Entries []EntryDoc `json:"entries"`
}

// EditDoc is one edit of the history.
type EditDoc struct {
	ID    string   `json:"id"`
	Time  string   `json:"time"`
	Entry EntryDoc `json:"entry"`
}

// HistoryDoc is the edits, the oldest first.
type HistoryDoc struct {
	Edits []EditDoc `json:"edits"`
}

// StatusDoc is what one entry knows of its region.
type StatusDoc struct {
	Entry     string    `json:"entry"`
	Region    string    `json:"region"`
	Epoch     uint64    `json:"epoch"`
	Fresh     bool      `json:"fresh"` // the table confirmed the epoch a moment ago
	Catalogue uint64    `json:"catalogue"`
	Shards    int       `json:"shards"`
	Nodes     []NodeDoc `json:"nodes"`
}

// NodeDoc is a node as the roster lists it.
type NodeDoc struct {
	ID      string `json:"id"`
	Inc     uint64 `json:"inc"`
	Addr    string `json:"addr"`
	Domain  string `json:"domain"`
	Service string `json:"service"`
	Slots   int    `json:"slots"`
	Shards  int    `json:"shards"`
	Leaving bool   `json:"leaving"`
}

// FaultDoc is an error as operators see it.
type ErrorDoc struct {
	Field string `json:"field"`
	Error string `json:"error"`
}

func (o *OperatorAPI) list(ctx khttp.Context) error {
	c := o.View.Catalogue()
	doc := CatalogueDoc{Version: c.Version(), Entries: []EntryDoc{}}
	for _, e := range c.Entries() {
		if !e.Deleted {
			doc.Entries = append(doc.Entries, putEntry(e))
		}
	}
	return ctx.JSON(http.StatusOK, doc)
}

func (o *OperatorAPI) get(ctx khttp.Context) error {
	e, ok := o.View.Catalogue().Get(ctx.Vars().Get("name"))
	if !ok {
		return o.fail(ctx, edit.ErrEntryNotFound)
	}
	return ctx.JSON(http.StatusOK, putEntry(e))
}

func (o *OperatorAPI) put(ctx khttp.Context) error {
	var doc EntryDoc
	dec := json.NewDecoder(http.MaxBytesReader(ctx.Response(), ctx.Request().Body, maxEdit))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&doc); err != nil {
		return ctx.JSON(http.StatusBadRequest, ErrorDoc{Field: "body", Error: err.Error()})
	}
	if name := ctx.Vars().Get("name"); doc.Name != name {
		return ctx.JSON(http.StatusBadRequest, ErrorDoc{Field: "name", Error: "differs from the name in the path"})
	}
	e, err := o.Editor.Put(ctx, doc.entry(), doc.Version)
	if err != nil {
		return o.fail(ctx, err)
	}
	return ctx.JSON(http.StatusOK, putEntry(e))
}

func (o *OperatorAPI) remove(ctx khttp.Context) error {
	version, err := strconv.ParseUint(ctx.Query().Get("version"), 10, 64)
	if err != nil {
		return ctx.JSON(http.StatusBadRequest, ErrorDoc{Field: "version", Error: "must be the version that you read"})
	}
	e, err := o.Editor.Delete(ctx, ctx.Vars().Get("name"), version)
	if err != nil {
		return o.fail(ctx, err)
	}
	return ctx.JSON(http.StatusOK, putEntry(e))
}

func (o *OperatorAPI) history(ctx khttp.Context) error {
	edits, err := o.Editor.History(ctx)
	if err != nil {
		return o.fail(ctx, err)
	}
	doc := HistoryDoc{Edits: []EditDoc{}}
	for _, e := range edits {
		doc.Edits = append(doc.Edits, EditDoc{ID: e.ID, Time: e.Time.UTC().Format(time.RFC3339), Entry: putEntry(e.Entry)})
	}
	return ctx.JSON(http.StatusOK, doc)
}

func (o *OperatorAPI) status(ctx khttp.Context) error {
	r := o.View.Roster()
	doc := StatusDoc{
		Entry: o.ID, Region: o.Region, Epoch: r.Epoch(), Fresh: o.View.RosterConfirmed(o.View.Clock.Now()),
		Catalogue: o.View.Catalogue().Version(), Shards: len(r.Shards()), Nodes: []NodeDoc{},
	}
	owned := map[roster.Ref]int{}
	for _, s := range r.Shards() {
		owned[s.Owner]++
	}
	for _, n := range r.Nodes() {
		doc.Nodes = append(doc.Nodes, NodeDoc{
			ID: n.ID, Inc: n.Inc, Addr: n.Addr, Domain: n.Domain, Service: n.Service,
			Slots: n.Slots, Shards: owned[n.Ref], Leaving: n.Leaving,
		})
	}
	return ctx.JSON(http.StatusOK, doc)
}

func (o *OperatorAPI) drain(ctx khttp.Context) error {
	id := ctx.Vars().Get("node")
	node, ok := o.View.Roster().FindByID(id)
	if !ok || !jobkey.ValidName(id) {
		return ctx.JSON(http.StatusNotFound, ErrorDoc{Field: "node", Error: "the roster has no such node"})
	}
	if err := o.RosterWriter.QueueChange(roster.Change{Kind: roster.Leave, Node: node}); err != nil {
		return o.fail(ctx, err)
	}
	return ctx.JSON(http.StatusAccepted, NodeDoc{ID: node.ID, Inc: node.Inc, Leaving: true})
}

func (o *OperatorAPI) fail(ctx khttp.Context, err error) error {
	status := http.StatusServiceUnavailable
	field := "table"
	switch {
	case errors.Is(err, catlg.ErrInvalid):
		status, field = http.StatusBadRequest, "entry"
	case errors.Is(err, edit.ErrEntryNotFound):
		status, field = http.StatusNotFound, "name"
	case errors.Is(err, edit.ErrVersionMismatch), errors.Is(err, table.ErrConflict):
		status, field = http.StatusConflict, "version"
	case errors.Is(err, edit.ErrInDoubt):
		status, field = http.StatusGatewayTimeout, "table"
	}
	return ctx.JSON(status, ErrorDoc{Field: field, Error: err.Error()})
}

func putEntry(e catlg.Entry) EntryDoc {
	return EntryDoc{
		Name: e.Name, Owner: e.Owner, Class: string(e.Class), Service: e.Service,
		Limits: LimitsDoc{
			Tasks: e.Limits.Tasks, Running: e.Limits.Running, Rate: e.Limits.Rate,
			Timeout: e.Limits.Timeout.Milliseconds(),
		},
		Version: e.Version, Deleted: e.Deleted,
	}
}

func (d EntryDoc) entry() catlg.Entry {
	return catlg.Entry{
		Name: d.Name, Owner: d.Owner, Class: catlg.Class(d.Class), Service: d.Service,
		Limits: catlg.Limits{
			Tasks: d.Limits.Tasks, Running: d.Limits.Running, Rate: d.Limits.Rate,
			Timeout: time.Duration(d.Limits.Timeout) * time.Millisecond,
		},
	}
}
