package report

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/daem/guard"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/cause"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/coord"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/route"
)

// WherePath is the HTTP path at which an entry answers placement queries: a POST of a job as
// its caller would send it, with the parameters HostParam, PathParam and, optionally,
// WaitParam.
const WherePath = "/where"

// Parameters of a placement query.
const (
	HostParam = "host" // Host header of the caller's request
	PathParam = "path" // path of the caller's request, with or without the ID of a job
	WaitParam = "wait" // how long the caller waits for the answer, ms
)

// maxQueryWait is the longest wait of a caller that a query may give.
const maxQueryWait = 24 * time.Hour

// WhereHandler answers placement queries. Set the exported fields before use; all except
// Now are required. It is safe for concurrent use.
type WhereHandler struct {
	// Entry is the name of the entry.
	Entry string
	// Config holds the configuration with the routes.
	Config *route.Current
	// FindRoute returns the route for a Host header and a path.
	FindRoute func(t *route.Table, hostHeader, path string) (r route.Route, jobID string, ok bool)
	// MaxBodyBytes returns the limit on the length of a caller's request.
	MaxBodyBytes func(t *route.Table) int64
	// DecodeJob decodes a job for a route. It returns a reason of package cause if jobs of
	// its kind are not supported.
	DecodeJob func(body []byte, r route.Route) (j coord.Job, unsupported string, err error)
	// Stopping reports whether jobs are refused because the process is stopping, and the
	// delay after which their callers are told to retry.
	Stopping func() (retryAfter time.Duration, stopping bool)
	// Where returns how a job would be admitted and placed.
	Where func(coord.Job) coord.Plan
	// Now returns the current time; nil means boot.Now.
	Now func() boot.Time

	mu sync.Mutex // held while a job is decoded and its answer made, so that only one takes memory
}

// queryError is an error with the HTTP status to answer it with.
type queryError struct {
	status int
	text   string
}

func (e *queryError) Error() string { return e.text }

// ServeHTTP answers a placement query with a WhereDoc, or with an ErrorDoc and the status
// 400 if the query or the job is malformed, 404 if no route matches, 405 if it is not a
// POST, and 503 if there is no configuration.
func (h *WhereHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	doc, err := h.answer(w, r)
	var failure *queryError
	switch {
	case errors.As(err, &failure):
		w.WriteHeader(failure.status)
		_ = json.NewEncoder(w).Encode(ErrorDoc{failure.text})
	default:
		// An error means that the client is gone, so it can't be reported to it.
		_ = json.NewEncoder(w).Encode(doc)
	}
}

// answer returns the answer to a placement query. Any error is a *queryError.
func (h *WhereHandler) answer(w http.ResponseWriter, r *http.Request) (*WhereDoc, error) {
	if r.Method != http.MethodPost {
		return nil, &queryError{http.StatusMethodNotAllowed, "want a POST with the job"}
	}
	table := h.Config.Get()
	if table == nil {
		return nil, &queryError{http.StatusServiceUnavailable, "the entry has no configuration yet"}
	}
	query := r.URL.Query()
	matched, jobID, ok := h.FindRoute(table, query.Get(HostParam), query.Get(PathParam))
	if !ok {
		text := fmt.Sprintf("no route for host %q and path %q in version %d of the configuration", query.Get(HostParam), query.Get(PathParam), table.Version)
		return nil, &queryError{http.StatusNotFound, text}
	}
	wait, err := parseWait(query.Get(WaitParam))
	if err != nil {
		return nil, err
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, h.MaxBodyBytes(table)))
	if errors.Is(err, guard.ErrBusy) {
		return nil, &queryError{http.StatusServiceUnavailable, err.Error()}
	}
	if err != nil {
		return nil, &queryError{http.StatusBadRequest, "reading the job: " + err.Error()}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	j, unsupported, err := h.DecodeJob(body, matched)
	if err != nil {
		return nil, &queryError{http.StatusBadRequest, "invalid job: " + err.Error()}
	}
	j.ID, j.ConfigVersion, j.Arrived = jobID, table.Version, h.now()
	if wait > 0 {
		j.WaitsUntil = j.Arrived.Add(wait)
	}
	return h.newDoc(j, unsupported), nil
}

// parseWait returns the value of WaitParam; 0 if it is missing.
func parseWait(text string) (time.Duration, error) {
	if text == "" {
		return 0, nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms <= 0 || ms > maxQueryWait.Milliseconds() {
		return 0, &queryError{http.StatusBadRequest, fmt.Sprintf("invalid wait %q", text)}
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// newDoc returns the answer for a job. A job that is refused before its admission has no
// steps in it.
func (h *WhereHandler) newDoc(j coord.Job, unsupported string) *WhereDoc {
	d := &WhereDoc{Entry: h.Entry, Version: j.ConfigVersion, Route: j.Route.Name, Service: j.Route.Service, Priority: j.Route.Priority, Steps: []StepDoc{}}
	retryAfter, stopping := h.Stopping()
	switch {
	case stopping:
		d.setAdmission(coord.Admission{Refused: cause.Stopping, RetryEarliest: retryAfter, RetryLatest: retryAfter})
		return d
	case unsupported != "":
		d.Refused = unsupported
		return d
	}
	d.setPlan(h.Where(j))
	return d
}

func (h *WhereHandler) now() boot.Time {
	if h.Now != nil {
		return h.Now()
	}
	return boot.Now()
}
