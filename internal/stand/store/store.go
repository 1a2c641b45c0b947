package store

import (
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/gypsumlanding/gypsumlanding/internal/plat/table"
)

const maxBody = 64 << 20 // bytes

// Values of Fault.Mode.
const (
	ModeOK        = "ok"   // serves requests
	ModeDown      = "down" // answers with status 503 and does nothing else
	ModeHang      = "hang" // does nothing and never answers
	ModeSlow      = "slow" // serves requests after DelayMS
	ModeLoseReply = "lost" // commits transactions, but closes the connection before the reply; serves reads
)

// Store is a simulated store. The zero value is empty and has no fault. It is safe
// for concurrent use.
type Store struct {
	mu      sync.Mutex
	rows    map[string]row
	objects map[string][]byte
	fault   Fault
	reads   int // requests that read rows
	writes  int // transactions committed
}

// Fault describes how a Store fails.
type Fault struct {
	Mode        string `json:"mode"`  // empty means ModeOK
	DelayMS     int64  `json:"delay"` // of ModeSlow
	Remaining   int    `json:"left"`  // number of requests until the fault ends; 0 means no end
	ClockSkewMS int64  `json:"skew"`  // how far the store's clock is ahead
}

// row is a stored row. Versions count from 1; 0 stands for a row that does not
// exist.
type row struct {
	version uint64
	value   json.RawMessage
}

// rowDoc is the JSON of a row. In a transaction, Version is the expected current
// version.
type rowDoc struct {
	Name    string          `json:"name"`
	Version uint64          `json:"version"`
	Value   json.RawMessage `json:"value"`
}

type rowsDoc struct {
	Rows []rowDoc `json:"rows"`
}

type txnDoc struct {
	Writes []rowDoc `json:"writes"`
}

type countsDoc struct {
	Reads  int `json:"reads"`
	Writes int `json:"writes"`
}

// Serve registers the store's routes with srv, and those that set the fault and
// return the request counts.
func (s *Store) Serve(srv *khttp.Server) {
	r := srv.Route("/")
	r.GET("/v1/rows", s.withFault(s.listRows))
	r.GET("/v1/rows/{name:.+}", s.withFault(s.getRow))
	r.POST("/v1/txn", s.withFault(s.commit))
	r.GET("/v1/objects/{name}", s.withFault(s.getObject))
	r.PUT("/v1/objects/{name}", s.withFault(s.putObject))
	r.POST("/fault", s.setFault)
	r.GET("/counts", s.getCounts)
}

// withFault returns a handler that applies the current fault and calls h if that
// allows it.
func (s *Store) withFault(h khttp.HandlerFunc) khttp.HandlerFunc {
	return func(ctx khttp.Context) error {
		f := s.takeFault()
		ctx.Response().Header().Set(table.TimeHeader, strconv.FormatInt(time.Now().UnixMilli()+f.ClockSkewMS, 10))
		switch f.Mode {
		case ModeDown:
			return ctx.JSON(http.StatusServiceUnavailable, nil)
		case ModeHang:
			<-ctx.Request().Context().Done()
			return nil
		case ModeSlow:
			time.Sleep(time.Duration(f.DelayMS) * time.Millisecond)
		case ModeLoseReply:
			if ctx.Request().Method != http.MethodGet {
				s.commitAndDisconnect(ctx)
			}
		}
		return h(ctx)
	}
}

// takeFault returns the fault for one request and counts the request.
func (s *Store) takeFault() Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.fault
	if f.Remaining > 0 {
		s.fault.Remaining--
		if s.fault.Remaining == 0 {
			s.fault = Fault{}
		}
	}
	return f
}

// commitAndDisconnect commits the transaction of a request and closes the connection
// without a reply.
func (s *Store) commitAndDisconnect(ctx khttp.Context) {
	var doc txnDoc
	if json.NewDecoder(io.LimitReader(ctx.Request().Body, maxBody)).Decode(&doc) == nil {
		s.apply(doc)
	}
	panic(http.ErrAbortHandler)
}

// getRow answers with one row, or with status 304 if its version is that of the query
// parameter "not".
func (s *Store) getRow(ctx khttp.Context) error {
	name := ctx.Vars().Get("name")
	s.mu.Lock()
	s.reads++
	r, ok := s.rows[name]
	s.mu.Unlock()
	if !ok {
		return ctx.JSON(http.StatusNotFound, nil)
	}
	if ctx.Query().Get("not") == strconv.FormatUint(r.version, 10) {
		ctx.Response().WriteHeader(http.StatusNotModified)
		return nil
	}
	return ctx.JSON(http.StatusOK, rowDoc{Name: name, Version: r.version, Value: r.value})
}

// listRows answers with the rows whose names begin with the query parameter "prefix",
// sorted by name.
func (s *Store) listRows(ctx khttp.Context) error {
	prefix := ctx.Query().Get("prefix")
	doc := rowsDoc{Rows: []rowDoc{}}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	for _, name := range slices.Sorted(maps.Keys(s.rows)) {
		if strings.HasPrefix(name, prefix) {
			r := s.rows[name]
			doc.Rows = append(doc.Rows, rowDoc{Name: name, Version: r.version, Value: r.value})
		}
	}
	return ctx.JSON(http.StatusOK, doc)
}

// commit commits a transaction, or answers with status 409 if the version of a row is
// not the expected one.
func (s *Store) commit(ctx khttp.Context) error {
	var doc txnDoc
	if err := json.NewDecoder(io.LimitReader(ctx.Request().Body, maxBody)).Decode(&doc); err != nil {
		return ctx.JSON(http.StatusBadRequest, nil)
	}
	if !s.apply(doc) {
		return ctx.JSON(http.StatusConflict, nil)
	}
	return ctx.JSON(http.StatusOK, nil)
}

// apply commits all writes of a transaction and reports true, or commits none and
// reports false if the version of a row is not the expected one.
func (s *Store) apply(doc txnDoc) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range doc.Writes {
		if s.rows[w.Name].version != w.Version {
			return false
		}
	}
	if s.rows == nil {
		s.rows = map[string]row{}
	}
	for _, w := range doc.Writes {
		s.rows[w.Name] = row{version: w.Version + 1, value: w.Value}
	}
	s.writes++
	return true
}

func (s *Store) getObject(ctx khttp.Context) error {
	s.mu.Lock()
	object, ok := s.objects[ctx.Vars().Get("name")]
	s.mu.Unlock()
	if !ok {
		return ctx.JSON(http.StatusNotFound, nil)
	}
	return ctx.Blob(http.StatusOK, "application/octet-stream", object)
}

func (s *Store) putObject(ctx khttp.Context) error {
	body, err := io.ReadAll(io.LimitReader(ctx.Request().Body, maxBody))
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.objects == nil {
		s.objects = map[string][]byte{}
	}
	s.objects[ctx.Vars().Get("name")] = body
	return ctx.JSON(http.StatusOK, nil)
}

func (s *Store) setFault(ctx khttp.Context) error {
	var f Fault
	if err := json.NewDecoder(ctx.Request().Body).Decode(&f); err != nil {
		return ctx.JSON(http.StatusBadRequest, nil)
	}
	s.mu.Lock()
	s.fault = f
	s.mu.Unlock()
	return ctx.JSON(http.StatusOK, nil)
}

func (s *Store) getCounts(ctx khttp.Context) error {
	s.mu.Lock()
	doc := countsDoc{Reads: s.reads, Writes: s.writes}
	s.mu.Unlock()
	return ctx.JSON(http.StatusOK, doc)
}
