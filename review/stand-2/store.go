package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// row is a row of the platform's store.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"row-version"`
	Removed bool   `json:"removed,omitempty"`
}

// store is a sound store of the platform, as PROTOCOL.md describes it.
type store struct {
	mu      sync.Mutex
	start   time.Time
	version int64
	rows    map[string]row
	changed chan struct{} // closed with the next change
}

func newStore() *store {
	return &store{start: time.Now(), rows: map[string]row{}, changed: make(chan struct{})}
}

func rowKey(r row) string { return r.Table + "\x00" + r.Part + "\x00" + r.Key }

// put writes a row as the operator does.
func (s *store) put(table, key string, value any) {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.set(row{Table: table, Key: key, Value: b, Version: s.version})
}

// set stores a row and wakes the feeds. The caller holds mu.
func (s *store) set(r row) {
	s.rows[rowKey(r)] = r
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond)
	q := r.URL.Query()
	switch r.URL.Path {
	case "/-/rows-get":
		s.get(w, q.Get("table"), q.Get("part"), q.Get("from"), q.Get("target"))
	case "/-/rows-feed":
		after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("wait-ms"))
		s.feed(w, r, q.Get("table"), after, time.Duration(wait)*time.Millisecond)
	case "/-/rows-tx":
		s.transact(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) get(w http.ResponseWriter, table, part, from, to string) {
	s.mu.Lock()
	rows := []row{}
	for _, r := range s.rows {
		if r.Table == table && r.Part == part && !r.Removed && r.Key >= from && (to == "" || r.Key < to) {
			rows = append(rows, r)
		}
	}
	version := s.version
	s.mu.Unlock()
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	s.send(w, http.StatusOK, map[string]any{"rows": rows, "more-pages": false, "row-version": version})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request, table string, after int64, wait time.Duration) {
	end := time.NewTimer(wait)
	defer end.Stop()
	for over := false; ; {
		s.mu.Lock()
		rows := []row{}
		for _, r := range s.rows {
			if r.Table == table && r.Version > after {
				rows = append(rows, r)
			}
		}
		version, changed := s.version, s.changed
		s.mu.Unlock()
		if len(rows) > 0 || over {
			sort.Slice(rows, func(i, j int) bool { return rows[i].Version < rows[j].Version })
			s.send(w, http.StatusOK, map[string]any{"rows": rows, "row-version": version})
			return
		}
		select {
		case <-changed:
		case <-end.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var tx struct {
		Expected []row `json:"expected-rev"`
		Puts     []row `json:"puts"`
		Remove   []row `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&tx) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range tx.Expected {
		if now := s.rows[rowKey(e)]; now.Version != e.Version && !(e.Version == 0 && now.Removed) {
			s.send(w, http.StatusPreconditionFailed, map[string]any{"rows": []row{now}, "row-version": s.version})
			return
		}
	}
	s.version++
	for _, p := range tx.Puts {
		p.Version, p.Removed = s.version, false
		s.set(p)
	}
	for _, p := range tx.Remove {
		p.Version, p.Removed, p.Value = s.version, true, nil
		s.set(p)
	}
	s.send(w, http.StatusOK, map[string]any{"row-version": s.version})
}

func (s *store) send(w http.ResponseWriter, status int, body map[string]any) {
	body["now-ms"] = time.Since(s.start).Milliseconds()
	sendJSON(w, status, body)
}

func sendJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // fails only if the caller has left
}
