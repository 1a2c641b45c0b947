package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// storeRow is a row of the platform's store.
type storeRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"` // base64 on the wire
	Version int64  `json:"row-version"`
	Removed bool   `json:"removed,omitempty"`
}

// store is the platform's metadata store, as PROTOCOL.md tells it.
type store struct {
	mu      sync.Mutex
	version int64
	rows    map[[3]string]storeRow // removed ones included
	changed chan struct{}
	begin   time.Time
}

func newStore() *store {
	return &store{rows: map[[3]string]storeRow{}, changed: make(chan struct{}), begin: time.Now()}
}

// operator writes a row as the operator does.
func (s *store) operator(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.rows[[3]string{table, "", key}] = storeRow{Table: table, Key: key, Value: value, Version: s.version}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	switch r.URL.Path {
	case "/-/rows-tx":
		s.transact(w, r)
	case "/-/rows-get":
		limit, _ := strconv.Atoi(q.Get("limit"))
		if limit <= 0 || limit > 500 {
			limit = 500
		}
		s.mu.Lock()
		rows := []storeRow{}
		for _, x := range s.rows {
			if x.Table == q.Get("table") && x.Part == q.Get("part") && !x.Removed && x.Key >= q.Get("from") &&
				(q.Get("target") == "" || x.Key < q.Get("target")) {
				rows = append(rows, x)
			}
		}
		version := s.version
		s.mu.Unlock()
		sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
		more := len(rows) > limit
		rows = rows[:min(len(rows), limit)]
		s.answer(w, 200, map[string]any{"rows": rows, "more-pages": more, "row-version": version})
	case "/-/rows-feed":
		after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("wait-ms"))
		limit := time.NewTimer(time.Duration(min(wait, 30_000)) * time.Millisecond)
		defer limit.Stop()
		for {
			s.mu.Lock()
			rows := []storeRow{}
			for _, x := range s.rows {
				if x.Table == q.Get("table") && x.Version > after {
					rows = append(rows, x)
				}
			}
			version, changed := s.version, s.changed
			s.mu.Unlock()
			sort.Slice(rows, func(i, j int) bool { return rows[i].Version < rows[j].Version })
			over := false
			if len(rows) == 0 {
				select {
				case <-changed:
					continue
				case <-r.Context().Done():
					return
				case <-limit.C:
					over = true
				}
			}
			if len(rows) > 0 || over {
				s.answer(w, 200, map[string]any{"rows": rows, "row-version": version})
				return
			}
		}
	default:
		w.WriteHeader(404)
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var tx struct {
		Expected []storeRow `json:"expected-rev"`
		Puts     []storeRow `json:"puts"`
		Remove   []storeRow `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		w.WriteHeader(400)
		return
	}
	time.Sleep(4 * time.Millisecond) // txn-ms
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, list := range [][]storeRow{tx.Puts, tx.Remove} {
		for _, x := range list {
			if x.Table == "op" || x.Table == "servers" {
				w.WriteHeader(403)
				return
			}
		}
	}
	var current []storeRow
	fits := true
	for _, x := range tx.Expected {
		have := s.rows[[3]string{x.Table, x.Part, x.Key}]
		version := have.Version
		if have.Removed {
			version = 0
		}
		fits = fits && version == x.Version
		current = append(current, have)
	}
	if !fits {
		s.answer(w, 412, map[string]any{"rows": current, "row-version": s.version})
		return
	}
	s.version++
	for _, x := range tx.Puts {
		x.Version, x.Removed = s.version, false
		s.rows[[3]string{x.Table, x.Part, x.Key}] = x
	}
	for _, x := range tx.Remove {
		s.rows[[3]string{x.Table, x.Part, x.Key}] = storeRow{Table: x.Table, Part: x.Part, Key: x.Key, Version: s.version, Removed: true}
	}
	close(s.changed)
	s.changed = make(chan struct{})
	s.answer(w, 200, map[string]any{"row-version": s.version})
}

func (s *store) answer(w http.ResponseWriter, status int, body map[string]any) {
	body["now-ms"] = time.Since(s.begin).Milliseconds()
	writeJSON(w, status, body)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
