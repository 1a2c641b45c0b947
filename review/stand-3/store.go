package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// store is a stand-in of the platform's metadata store, as PROTOCOL.md describes its rows.
type store struct {
	mu      sync.Mutex
	changed *sync.Cond
	version int64
	rows    map[rowKey]storeRow
	history []storeRow // all changes in order
	began   time.Time
}

type rowKey struct{ table, part, key string }

// storeRow is a row as the store's calls carry it.
type storeRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   string `json:"value,omitempty"`
	Version int64  `json:"row-version,omitempty"`
	Removed bool   `json:"removed,omitempty"`
}

func newStore() *store {
	s := &store{rows: map[rowKey]storeRow{}, began: time.Now()}
	s.changed = sync.NewCond(&s.mu)
	return s
}

// put writes a row as the operator does.
func (s *store) put(r storeRow) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.apply(r)
	s.changed.Broadcast()
}

// apply records a change of the present version. The caller holds mu.
func (s *store) apply(r storeRow) {
	r.Version = s.version
	k := rowKey{r.Table, r.Part, r.Key}
	if r.Removed {
		delete(s.rows, k)
	} else {
		s.rows[k] = r
	}
	s.history = append(s.history, r)
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond) // txn-ms
	switch r.URL.Path {
	case "/-/rows-tx":
		s.transact(w, r)
	case "/-/rows-get":
		s.get(w, r)
	case "/-/rows-feed":
		s.feed(w, r)
	default:
		http.NotFound(w, r)
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var tx struct {
		Expected []storeRow `json:"expected-rev"`
		Puts     []storeRow `json:"puts"`
		Remove   []storeRow `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range tx.Expected {
		if s.rows[rowKey{e.Table, e.Part, e.Key}].Version != e.Version {
			s.reply(w, http.StatusPreconditionFailed, nil)
			return
		}
	}
	s.version++
	for _, p := range tx.Puts {
		s.apply(p)
	}
	for _, d := range tx.Remove {
		if _, ok := s.rows[rowKey{d.Table, d.Part, d.Key}]; ok {
			d.Removed, d.Value = true, ""
			s.apply(d)
		}
	}
	s.changed.Broadcast()
	s.reply(w, http.StatusOK, nil)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := []storeRow{}
	for k, row := range s.rows {
		if k.table == q.Get("table") && k.part == q.Get("part") && k.key >= q.Get("from") && (q.Get("target") == "" || k.key < q.Get("target")) {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	s.reply(w, http.StatusOK, rows)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	waitMS, _ := strconv.Atoi(q.Get("wait-ms"))
	end := time.Now().Add(time.Duration(waitMS) * time.Millisecond)
	defer time.AfterFunc(time.Until(end), s.changed.Broadcast).Stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		rows := []storeRow{}
		for _, row := range s.history {
			if row.Table == q.Get("table") && row.Version > after {
				rows = append(rows, row)
			}
		}
		if len(rows) > 0 || !time.Now().Before(end) || r.Context().Err() != nil {
			s.reply(w, http.StatusOK, rows)
			return
		}
		s.changed.Wait()
	}
}

// reply answers with rows and the newest version. The caller holds mu.
func (s *store) reply(w http.ResponseWriter, status int, rows []storeRow) {
	body := map[string]any{"row-version": s.version, "now-ms": time.Since(s.began).Milliseconds()}
	if rows != nil {
		body["rows"], body["more-pages"] = rows, false
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
