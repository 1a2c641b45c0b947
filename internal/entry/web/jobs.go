package web

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"
	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/gypsumlanding/gypsumlanding/internal/core/catlg"
	"github.com/gypsumlanding/gypsumlanding/internal/core/clock"
	"github.com/gypsumlanding/gypsumlanding/internal/core/ledger"
	"github.com/gypsumlanding/gypsumlanding/internal/daem/guard"
	"github.com/gypsumlanding/gypsumlanding/internal/daem/stats"
	"github.com/gypsumlanding/gypsumlanding/internal/entry/relay"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/view"
	"github.com/gypsumlanding/gypsumlanding/pkg/jobkey"
)

// Headers of every response to a caller.
const (
	EpochHeader = "Gyp-Epoch" // the present epoch, for generating keys
	TimeHeader  = "Gyp-Time"  // the entry's cluster time, Unix ms
)

// Limits of a job.
const (
	MaxBodySize    = 4 << 20                // bytes
	DefaultTimeout = 5 * time.Second        // of a job that does not request one; reduced to the limit of its catalogue entry
	minTimeout     = catlg.MinTimeout       // shortest timeout that a job may request
	lookupTimeout  = 200 * time.Millisecond // longest wait for the outcome of a key that is looked up
)

// NoCatalogue is the reason given by an entry that has not read the catalogue yet.
const NoCatalogue ledger.Reason = "nocatalogue"

var errBadRequest = merry.Sentinel("bad request", merry.WithHTTPCode(http.StatusBadRequest))

// JobAPI serves callers. All fields must be set before use.
type JobAPI struct {
	Region string
	Clock  *clock.Clock
	View   *view.View
	Relay  *relay.Relay
	Stats  *stats.Set
}

// Serve adds the callers' routes to srv.
func (j *JobAPI) Serve(srv *khttp.Server) {
	r := srv.Route("/")
	r.POST("/v1/jobs", j.submit)
	r.GET("/v1/jobs/{key}", j.lookUp)
	r.GET("/v1/epoch", j.getEpoch)
}

// jobDoc is the JSON form of a request to run a job.
type jobDoc struct {
	Key     string   `json:"key"`
	Entry   string   `json:"entry"`
	Timeout int64    `json:"timeout"` // ms
	Tasks   taskList `json:"tasks"`
}

// outcomeDoc is the JSON form of the outcome of a job.
type outcomeDoc struct {
	Key     string            `json:"key"`
	State   string            `json:"state"`
	Reason  string            `json:"reason,omitempty"`
	Answers []json.RawMessage `json:"answers,omitempty"`
}

// jobErrorDoc is the JSON form of a requestError.
type jobErrorDoc struct {
	Field string `json:"field"`
	Error string `json:"error"`
}

// epochDoc is the JSON form of the present epoch and time of a region.
type epochDoc struct {
	Region string `json:"region"`
	Epoch  uint64 `json:"epoch"`
	Time   int64  `json:"time"` // Unix ms
}

// requestError is the reason why a request is refused as invalid, before any task runs.
type requestError struct {
	status int    // HTTP status of the response
	field  string // field at fault; "body" means the request as a whole
	err    error
}

// badRequest returns a requestError with status 400 for the field.
func badRequest(field, text string) *requestError {
	return &requestError{status: http.StatusBadRequest, field: field, err: merry.Append(errBadRequest, text)}
}

func (j *JobAPI) submit(ctx khttp.Context) error {
	j.setHeaders(ctx)
	j.Stats.Count("requests")
	body := http.MaxBytesReader(ctx.Response(), ctx.Request().Body, MaxBodySize)
	doc, reqErr := decodeJob(json.NewDecoder(body))
	guard.FinishBody(ctx.Request().Context())
	if reqErr != nil {
		return j.replyError(ctx, reqErr)
	}
	job, reqErr := j.parseJob(doc)
	if reqErr != nil {
		return j.replyError(ctx, reqErr)
	}
	if j.View.Catalogue().Version() == 0 {
		return j.replyOutcome(ctx, job.Key, noCatalogueOutcome(job.Key))
	}
	key, outcome := j.Relay.Forward(job)
	return j.replyOutcome(ctx, key, outcome)
}

// noCatalogueOutcome returns the outcome of a job that is refused for lack of a
// catalogue. The state is NotRun only if the caller sent no key: a job with a key may
// have run after an earlier request.
func noCatalogueOutcome(key jobkey.Key) ledger.Outcome {
	if key.IsZero() {
		return ledger.Outcome{State: ledger.NotRun, Reason: NoCatalogue}
	}
	return ledger.Outcome{State: ledger.Unknown, Reason: NoCatalogue}
}

// decodeJob decodes the body of a request.
func decodeJob(dec *json.Decoder) (jobDoc, *requestError) {
	dec.DisallowUnknownFields()
	var doc jobDoc
	err := dec.Decode(&doc)
	if errors.Is(err, guard.ErrBusy) {
		// Closes the connection. An answer would have to tell whether the job has run, and its key
		// has not been read.
		panic(http.ErrAbortHandler)
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		reqErr := badRequest("body", "larger than "+strconv.Itoa(MaxBodySize)+" bytes")
		reqErr.status = http.StatusRequestEntityTooLarge
		return doc, reqErr
	}
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		return doc, badRequest(wrongType.Field, "must not be a "+wrongType.Value)
	}
	if err != nil {
		return doc, badRequest("body", err.Error())
	}
	return doc, nil
}

// parseJob checks a request against the limits of its catalogue entry and returns the
// job. While the entry has no catalogue, it applies default limits.
func (j *JobAPI) parseJob(doc jobDoc) (relay.Job, *requestError) {
	var job relay.Job
	if doc.Key != "" {
		key, err := jobkey.Parse(doc.Key)
		if err != nil {
			return job, badRequest("key", err.Error())
		}
		job.Key = key
	}
	if !jobkey.ValidName(doc.Entry) {
		return job, badRequest("entry", "must be 1 to 48 of a-z, 0-9 and -")
	}
	catalogue := j.View.Catalogue()
	entry, ok := catalogue.Get(doc.Entry)
	if !ok && catalogue.Version() > 0 {
		return job, &requestError{status: http.StatusNotFound, field: "entry", err: merry.Errorf("the catalogue has no entry %q", doc.Entry)}
	}
	job.Entry = entry
	if len(doc.Tasks) == 0 || len(doc.Tasks) > entry.MaxTasks() {
		return job, badRequest("tasks", "must be 1 to "+strconv.Itoa(entry.MaxTasks()))
	}
	for _, t := range doc.Tasks {
		job.Tasks = append(job.Tasks, t)
	}
	timeout, reqErr := jobTimeout(doc, entry)
	if reqErr != nil {
		return job, reqErr
	}
	job.Deadline = j.Clock.Now().Add(timeout)
	return job, j.applyKeyDeadline(&job)
}

// jobTimeout returns the timeout of a job, which is the default if the request has none.
func jobTimeout(doc jobDoc, entry catlg.Entry) (time.Duration, *requestError) {
	if doc.Timeout == 0 {
		return min(DefaultTimeout, entry.Timeout()), nil
	}
	timeout := time.Duration(doc.Timeout) * time.Millisecond
	if doc.Timeout < 0 || timeout < minTimeout || timeout > entry.Timeout() {
		return 0, badRequest("timeout", "must be 10 to "+strconv.FormatInt(entry.Timeout().Milliseconds(), 10)+" ms")
	}
	return timeout, nil
}

// applyKeyDeadline replaces the deadline of a job by the one that its key contains, if
// any.
func (j *JobAPI) applyKeyDeadline(job *relay.Job) *requestError {
	if job.Key.IsZero() || job.Key.Plain() {
		return nil
	}
	left := j.Clock.Until(job.Key.Deadline())
	if left > ledger.DefaultMaxTimeout {
		return badRequest("key", "its deadline is more than 2 minutes ahead")
	}
	job.Deadline = job.Key.Deadline()
	return nil
}

func (j *JobAPI) lookUp(ctx khttp.Context) error {
	j.setHeaders(ctx)
	key, err := jobkey.Parse(ctx.Vars().Get("key"))
	if err != nil {
		return j.replyError(ctx, badRequest("key", err.Error()))
	}
	deadline := j.Clock.Now().Add(lookupTimeout)
	_, outcome := j.Relay.Forward(relay.Job{Key: key, Deadline: deadline, LookupOnly: true})
	if outcome.Reason == ledger.DeadlineReached {
		outcome = ledger.Outcome{State: ledger.Running}
	}
	return j.replyOutcome(ctx, key, outcome)
}

func (j *JobAPI) getEpoch(ctx khttp.Context) error {
	j.setHeaders(ctx)
	return ctx.JSON(http.StatusOK, epochDoc{
		Region: j.Region,
		Epoch:  j.View.Roster().Epoch(),
		Time:   j.Clock.Now().UnixMilli(),
	})
}

// setHeaders sets the headers of every response to a caller.
func (j *JobAPI) setHeaders(ctx khttp.Context) {
	header := ctx.Response().Header()
	header.Set(EpochHeader, strconv.FormatUint(j.View.Roster().Epoch(), 10))
	header.Set(TimeHeader, strconv.FormatInt(j.Clock.Now().UnixMilli(), 10))
}

func (j *JobAPI) replyError(ctx khttp.Context, reqErr *requestError) error {
	j.Stats.CountRefusal("invalid")
	return ctx.JSON(reqErr.status, jobErrorDoc{Field: reqErr.field, Error: reqErr.err.Error()})
}

func (j *JobAPI) replyOutcome(ctx khttp.Context, key jobkey.Key, o ledger.Outcome) error {
	j.Stats.Count("outcome." + o.State.String())
	doc := outcomeDoc{Key: key.String(), State: o.State.String(), Reason: string(o.Reason)}
	for _, a := range o.Answers {
		doc.Answers = append(doc.Answers, answerJSON(a))
	}
	return ctx.JSON(httpStatus(o.State), doc)
}

// answerJSON returns a target's answer as JSON: unchanged if it is valid JSON, and
// otherwise as a JSON string.
func answerJSON(answer []byte) json.RawMessage {
	if json.Valid(answer) {
		return answer
	}
	text, err := json.Marshal(string(answer))
	if err != nil {
		return json.RawMessage(`""`)
	}
	return text
}

// httpStatus returns the HTTP status for the state of a job.
func httpStatus(s ledger.State) int {
	switch s {
	case ledger.Answered:
		return http.StatusOK
	case ledger.Running:
		return http.StatusAccepted
	case ledger.NotRun:
		return http.StatusServiceUnavailable
	case ledger.Failed:
		return http.StatusBadGateway
	}
	return http.StatusGatewayTimeout
}
