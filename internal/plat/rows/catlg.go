package rows

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/gypsumlanding/gypsumlanding/internal/core/catlg"
)

// Names of the catalogue's rows.
const (
	// HeadName is the row with the catalogue's version.
	HeadName = "catalogue/head"
	// EntryPrefix starts the names of the entries' rows.
	EntryPrefix = "catalogue/entry/"
	// HistoryPrefix starts the names of the edits' rows.
	HistoryPrefix = "catalogue/history/"
)

// EntryName returns the name of an entry's row.
func EntryName(name string) string { return EntryPrefix + name }

// HistoryName returns the name of the row of the edit that made version; such
// names sort by version.
func HistoryName(version uint64) string { return fmt.Sprintf("%s%016d", HistoryPrefix, version) }

type headDoc struct {
	Version uint64 `json:"version"`
}

// PutHead returns the value of the head row.
func EncodeHead(version uint64) ([]byte, error) { return json.Marshal(headDoc{Version: version}) }

// GetHead reads the head row.
func DecodeHead(value []byte) (uint64, error) {
	var doc headDoc
	if err := json.Unmarshal(value, &doc); err != nil {
		return 0, merry.Append(ErrMalformed, err.Error())
	}
	return doc.Version, nil
}

type entryDoc struct {
	Name    string    `json:"name"`
	Owner   string    `json:"owner"`
	Class   string    `json:"class"`
	Service string    `json:"service"`
	Limits  limitsDoc `json:"limits"`
	Version uint64    `json:"version"`
	Deleted bool      `json:"deleted,omitempty"`
}

type limitsDoc struct {
	Tasks   int   `json:"tasks,omitempty"`
	Running int   `json:"running,omitempty"`
	Rate    int   `json:"rate,omitempty"`
	Timeout int64 `json:"timeout,omitempty"` // ms
}

func putEntry(e catlg.Entry) entryDoc {
	return entryDoc{
		Name: e.Name, Owner: e.Owner, Class: string(e.Class), Service: e.Service,
		Limits: limitsDoc{
			Tasks: e.Limits.Tasks, Running: e.Limits.Running, Rate: e.Limits.Rate,
			Timeout: e.Limits.Timeout.Milliseconds(),
		},
		Version: e.Version, Deleted: e.Deleted,
	}
}

func (d entryDoc) entry() catlg.Entry {
	return catlg.Entry{
		Name: d.Name, Owner: d.Owner, Class: catlg.Class(d.Class), Service: d.Service,
		Limits: catlg.Limits{
			Tasks: d.Limits.Tasks, Running: d.Limits.Running, Rate: d.Limits.Rate,
			Timeout: time.Duration(d.Limits.Timeout) * time.Millisecond,
		},
		Version: d.Version, Deleted: d.Deleted,
	}
}

// PutEntry returns the value of an entry's row.
func EncodeEntry(e catlg.Entry) ([]byte, error) { return json.Marshal(putEntry(e)) }

// GetEntry reads an entry's row. It returns ErrMalformed for a row that is no
// valid entry.
func DecodeEntry(value []byte) (catlg.Entry, error) {
	var doc entryDoc
	if err := json.Unmarshal(value, &doc); err != nil {
		return catlg.Entry{}, merry.Append(ErrMalformed, err.Error())
	}
	e := doc.entry()
	if err := e.Validate(); err != nil {
		return catlg.Entry{}, merry.Append(ErrMalformed, err.Error())
	}
	return e, nil
}

// Edit is one accepted change of the catalogue.
type Edit struct {
	ID    string // chosen by who made the edit
	Time  time.Time
	Entry catlg.Entry
}

type editDoc struct {
	ID    string   `json:"id"`
	Time  int64    `json:"time"` // Unix ms
	Entry entryDoc `json:"entry"`
}

// PutEdit returns the value of an edit's row.
func EncodeEdit(e Edit) ([]byte, error) {
	return json.Marshal(editDoc{ID: e.ID, Time: e.Time.UnixMilli(), Entry: putEntry(e.Entry)})
}

// GetEdit reads an edit's row.
func DecodeEdit(value []byte) (Edit, error) {
	var doc editDoc
	if err := json.Unmarshal(value, &doc); err != nil {
		return Edit{}, merry.Append(ErrMalformed, err.Error())
	}
	return Edit{ID: doc.ID, Time: time.UnixMilli(doc.Time), Entry: doc.Entry.entry()}, nil
}
