package psim

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// row is a row as the platform's store speaks of it.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"row-version"`
	Removed bool   `json:"removed,omitempty"`
}

// table is the stand-in of the platform's store. The zero value is empty.
type table struct {
	mu      sync.Mutex
	down    bool
	version int64
	rows    map[string]row
}

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

func (t *table) setDown(down bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.down = down
}

// since returns the rows of a table that are newer than version.
func (t *table) since(name string, version int64) ([]row, int64, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	rows := []row{}
	for _, r := range t.rows {
		if r.Table == name && r.Version > version {
			rows = append(rows, r)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Version < rows[j].Version })
	return rows, t.version, t.down
}

// ServeHTTP serves the store's calls.
func (t *table) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	switch r.URL.Path {
	case "/-/rows-get":
		t.answer(w, query.Get("table"), -1, 0)
	case "/-/rows-feed":
		after, err := strconv.ParseInt(query.Get("after"), 10, 64)
		wait, failed := strconv.Atoi(query.Get("wait-ms"))
		if err != nil || failed != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		t.answer(w, query.Get("table"), after, time.Duration(wait)*time.Millisecond)
	case "/-/rows-tx":
		t.transact(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (t *table) answer(w http.ResponseWriter, name string, after int64, wait time.Duration) {
	limit := time.Now().Add(wait)
	for {
		rows, version, down := t.since(name, after)
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if len(rows) > 0 || !time.Now().Before(limit) {
			reply(w, map[string]any{"rows": rows, "row-version": version, "more-pages": false})
			return
		}
		time.Sleep(pollEvery)
	}
}

func (t *table) transact(w http.ResponseWriter, r *http.Request) {
	var tx struct {
		Puts   []row `json:"puts"`
		Remove []row `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if _, _, down := t.since("", 0); down {
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
	reply(w, map[string]any{})
}

func reply(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	// A caller that has left can't be told.
	_ = json.NewEncoder(w).Encode(body)
}
