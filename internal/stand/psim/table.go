package psim

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// row is a row in the JSON of the platform's store.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"row-version"`
	Removed bool   `json:"removed,omitempty"`
}

// table simulates the platform's store, which holds the rows of several tables. The
// zero value is empty.
type table struct {
	mu          sync.Mutex
	unavailable bool           // answers every request with status 503
	version     int64          // of the newest row
	discarded   int64          // version up to which the history was discarded
	rows        map[string]row // by table and key
}

// put stores a row under the next version.
func (t *table) put(r row) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.rows == nil {
		t.rows = map[string]row{}
	}
	t.version++
	r.Version = t.version
	t.rows[r.Table+"/"+r.Key] = r
}

func (t *table) setUnavailable(unavailable bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.unavailable = unavailable
}

// discardHistory discards all changes so far. The rows stay.
func (t *table) discardHistory() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.discarded = t.version
}

// hasDiscarded reports whether changes after version were discarded.
func (t *table) hasDiscarded(version int64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return version < t.discarded
}

// rowsAfter returns the rows of a table that are newer than version, in the order
// of their versions, with the version of the newest row in the store, and reports
// whether the store is unavailable. If version is negative, it leaves out removed rows.
func (t *table) rowsAfter(tableName string, version int64) ([]row, int64, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	rows := []row{}
	for _, r := range t.rows {
		if r.Table == tableName && r.Version > version && (version >= 0 || !r.Removed) {
			rows = append(rows, r)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Version < rows[j].Version })
	return rows, t.version, t.unavailable
}

// ServeHTTP serves the store's API.
func (t *table) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	switch r.URL.Path {
	case "/-/rows-get":
		t.sendRows(w, query.Get("table"), -1, 0)
	case "/-/rows-feed":
		after, err := strconv.ParseInt(query.Get("after"), 10, 64)
		waitMS, waitErr := strconv.Atoi(query.Get("wait-ms"))
		if err != nil || waitErr != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		if t.hasDiscarded(after) {
			w.WriteHeader(http.StatusGone)
			return
		}
		t.sendRows(w, query.Get("table"), after, time.Duration(waitMS)*time.Millisecond)
	case "/-/rows-tx":
		t.commit(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// sendRows answers with the rows that are newer than version after. If there are
// none, it waits for one, at most for the given time.
func (t *table) sendRows(w http.ResponseWriter, tableName string, after int64, wait time.Duration) {
	deadline := time.Now().Add(wait)
	for {
		rows, version, unavailable := t.rowsAfter(tableName, after)
		if unavailable {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if len(rows) > 0 || !time.Now().Before(deadline) {
			writeJSON(w, map[string]any{"rows": rows, "row-version": version, "more-pages": false})
			return
		}
		time.Sleep(checkInterval)
	}
}

// commit stores the rows of a transaction and marks the removed ones.
func (t *table) commit(w http.ResponseWriter, r *http.Request) {
	var tx struct {
		Puts   []row `json:"puts"`
		Remove []row `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if _, _, unavailable := t.rowsAfter("", 0); unavailable {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	for _, p := range tx.Puts {
		t.put(p)
	}
	for _, p := range tx.Remove {
		p.Removed = true
		t.put(p)
	}
	writeJSON(w, map[string]any{})
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	// Encoding fails only if the caller has disconnected.
	_ = json.NewEncoder(w).Encode(body)
}
