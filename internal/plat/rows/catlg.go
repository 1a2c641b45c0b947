package rows

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/gypsumlanding/gypsumlanding/internal/core/catlg"
)

// Names of the rows of the catalogue.
const (
	// HeadName is the name of the row with the version of the catalogue.
	HeadName = "catalogue/head"
	// EntryPrefix is the prefix of the names of the rows of entries.
	EntryPrefix = "catalogue/entry/"
	// HistoryPrefix is the prefix of the names of the rows of edits.
	HistoryPrefix = "catalogue/history/"
)

// EntryName returns the name of the row of the entry with the given name.
func EntryName(name string) string { return EntryPrefix + name }

// HistoryName returns the name of the row of the edit that created the given version of
// the catalogue. The order of these names as strings is that of their versions.
func HistoryName(version uint64) string { return fmt.Sprintf("%s%016d", HistoryPrefix, version) }

// headDoc is the JSON form of the head row.
type headDoc struct {
	Version uint64 `json:"version"`
}

// EncodeHead returns the value of the head row for a version of the catalogue.
func EncodeHead(version uint64) ([]byte, error) { return json.Marshal(headDoc{Version: version}) }

// DecodeHead returns the version in the value of a head row. It returns ErrMalformed if
// the value is not valid.
func DecodeHead(value []byte) (uint64, error) {
	var doc headDoc
	if err := json.Unmarshal(value, &doc); err != nil {
		return 0, merry.Append(ErrMalformed, err.Error())
	}
	return doc.Version, nil
}

// entryDoc is the JSON form of an entry.
type entryDoc struct {
	Name    string    `json:"name"`
	Owner   string    `json:"owner"`
	Class   string    `json:"class"`
	Service string    `json:"service"`
	Limits  limitsDoc `json:"limits"`
	Version uint64    `json:"version"`
	Deleted bool      `json:"deleted,omitempty"`
}

// limitsDoc is the JSON form of the limits of an entry. Fields that are 0 are omitted.
type limitsDoc struct {
	Tasks   int   `json:"tasks,omitempty"`
	Running int   `json:"running,omitempty"`
	Rate    int   `json:"rate,omitempty"`
	Timeout int64 `json:"timeout,omitempty"` // ms
}

func newEntryDoc(e catlg.Entry) entryDoc {
	return entryDoc{
		Name: e.Name, Owner: e.Owner, Class: string(e.Class), Service: e.Service,
		Limits: limitsDoc{
			Tasks: e.Limits.Tasks, Running: e.Limits.Running, Rate: e.Limits.Rate,
			Timeout: e.Limits.Timeout.Milliseconds(),
		},
		Version: e.Version, Deleted: e.Deleted,
	}
}

// entry returns the entry, without validating it.
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

// EncodeEntry returns the value of the row of an entry.
func EncodeEntry(e catlg.Entry) ([]byte, error) { return json.Marshal(newEntryDoc(e)) }

// DecodeEntry returns the entry in the value of a row. It returns ErrMalformed if the
// value is not a valid entry.
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
	ID    string      // chosen by the process that made the edit
	Time  time.Time   // cluster time of the edit
	Entry catlg.Entry // the entry after the edit
}

// editDoc is the JSON form of an edit.
type editDoc struct {
	ID    string   `json:"id"`
	Time  int64    `json:"time"` // Unix ms
	Entry entryDoc `json:"entry"`
}

// EncodeEdit returns the value of the row of an edit.
func EncodeEdit(e Edit) ([]byte, error) {
	return json.Marshal(editDoc{ID: e.ID, Time: e.Time.UnixMilli(), Entry: newEntryDoc(e.Entry)})
}

// DecodeEdit returns the edit in the value of a row. It returns ErrMalformed if the value
// can't be parsed, but does not validate the entry.
func DecodeEdit(value []byte) (Edit, error) {
	var doc editDoc
	if err := json.Unmarshal(value, &doc); err != nil {
		return Edit{}, merry.Append(ErrMalformed, err.Error())
	}
	return Edit{ID: doc.ID, Time: time.UnixMilli(doc.Time), Entry: doc.Entry.entry()}, nil
}
