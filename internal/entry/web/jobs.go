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
	"github.com/gypsumlanding/gypsumlanding/internal/daem/stats"
	"github.com/gypsumlanding/gypsumlanding/internal/entry/relay"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/view"
	"github.com/gypsumlanding/gypsumlanding/pkg/jobkey"
)

// Headers of every answer to a caller.
const (
	EpochHeader = "Gyp-Epoch" // the current epoch, to make keys with
	TimeHeader  = "Gyp-Time"  // the entry's cluster time, Unix ms
)

// Bounds of a job.
const (
	MaxBodySize    = 4 << 20                // bytes
	DefaultTimeout = 5 * time.Second        // of a job that asks for none
	minTimeout     = catlg.MinTimeout       // shortest time a job may ask for
	lookTimeout    = 200 * time.Millisecond // for the outcome of a known key
)

// NoCatalogue is the reason of an entry that has not read the catalogue yet.
const NoCatalogue ledger.Reason = "nocatalogue"

var errBad = merry.Sentinel("bad request", merry.WithHTTPCode(http.StatusBadRequest))

// Jobs serves callers. All fields must be set before use.
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
	r.GET("/v1/jobs/{key}", j.look)
	r.GET("/v1/epoch", j.epoch)
}

type jobDoc struct {
	Key     string            `json:"key"`
	Entry   string            `json:"entry"`
	Timeout int64             `json:"timeout"` // ms
	Tasks   []json.RawMessage `json:"tasks"`
}

type outcomeDoc struct {
	Key     string            `json:"key"`
	State   string            `json:"state"`
	Reason  string            `json:"reason,omitempty"`
	Answers []json.RawMessage `json:"answers,omitempty"`
}

type faultDoc struct {
	Field string `json:"field"`
	Error string `json:"error"`
}

type epochDoc struct {
	Region string `json:"region"`
	Epoch  uint64 `json:"epoch"`
	Time   int64  `json:"time"` // Unix ms
}

// fault is something wrong with a request, found before anything runs.
type fault struct {
	status int
	field  string
	err    error
}

func bad(field, text string) *fault {
	return &fault{status: http.StatusBadRequest, field: field, err: merry.Append(errBad, text)}
}

func (j *JobAPI) submit(ctx khttp.Context) error {
	j.stamp(ctx)
	j.Stats.Count("requests")
	body := http.MaxBytesReader(ctx.Response(), ctx.Request().Body, MaxBodySize)
	doc, f := readJob(json.NewDecoder(body))
	if f != nil {
		return j.fault(ctx, f)
	}
	job, f := j.job(doc)
	if f != nil {
		return j.fault(ctx, f)
	}
	if j.View.Catalogue().Version() == 0 {
		return j.answer(ctx, job.Key, refusal(job.Key))
	}
	key, outcome := j.Relay.Forward(job)
	return j.answer(ctx, key, outcome)
}

// refusal is the outcome of a job refused before it reached a home: only a key
// that nobody else can have sent is known not to have run.
func refusal(key jobkey.Key) ledger.Outcome {
	if key.IsZero() {
		return ledger.Outcome{State: ledger.NotRun, Reason: NoCatalogue}
	}
	return ledger.Outcome{State: ledger.Unknown, Reason: NoCatalogue}
}

func readJob(dec *json.Decoder) (jobDoc, *fault) {
	dec.DisallowUnknownFields()
	var doc jobDoc
	err := dec.Decode(&doc)
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		f := bad("body", "larger than "+strconv.Itoa(MaxBodySize)+" bytes")
		f.status = http.StatusRequestEntityTooLarge
		return doc, f
	}
	var wrong *json.UnmarshalTypeError
	if errors.As(err, &wrong) {
		return doc, bad(wrong.Field, "must not be a "+wrong.Value)
	}
	if err != nil {
		return doc, bad("body", err.Error())
	}
	return doc, nil
}

// job checks a request against the catalogue.
func (j *JobAPI) job(doc jobDoc) (relay.Job, *fault) {
	var job relay.Job
	if doc.Key != "" {
		key, err := jobkey.Parse(doc.Key)
		if err != nil {
			return job, bad("key", err.Error())
		}
		job.Key = key
	}
	if !jobkey.ValidName(doc.Entry) {
		return job, bad("entry", "must be 1 to 48 of a-z, 0-9 and -")
	}
	catalogue := j.View.Catalogue()
	entry, ok := catalogue.Get(doc.Entry)
	if !ok && catalogue.Version() > 0 {
		return job, &fault{status: http.StatusNotFound, field: "entry", err: merry.Errorf("the catalogue has no entry %q", doc.Entry)}
	}
	job.Entry = entry
	if len(doc.Tasks) == 0 || len(doc.Tasks) > entry.MaxTasks() {
		return job, bad("tasks", "must be 1 to "+strconv.Itoa(entry.MaxTasks()))
	}
	for _, t := range doc.Tasks {
		job.Tasks = append(job.Tasks, t)
	}
	timeout, f := timeoutOf(doc, entry)
	if f != nil {
		return job, f
	}
	job.Deadline = j.Clock.Now().Add(timeout)
	return job, j.checkDeadline(&job)
}

func timeoutOf(doc jobDoc, entry catlg.Entry) (time.Duration, *fault) {
	if doc.Timeout == 0 {
		return min(DefaultTimeout, entry.Timeout()), nil
	}
	timeout := time.Duration(doc.Timeout) * time.Millisecond
	if doc.Timeout < 0 || timeout < minTimeout || timeout > entry.Timeout() {
		return 0, bad("timeout", "must be 10 to "+strconv.FormatInt(entry.Timeout().Milliseconds(), 10)+" ms")
	}
	return timeout, nil
}

// checkDeadline holds a job to the deadline that its key carries.
func (j *JobAPI) checkDeadline(job *relay.Job) *fault {
	if job.Key.IsZero() || job.Key.Plain() {
		return nil
	}
	left := j.Clock.Until(job.Key.Deadline())
	if left > ledger.DefaultMaxTimeout {
		return bad("key", "its deadline is more than 2 minutes ahead")
	}
	job.Deadline = job.Key.Deadline()
	return nil
}

func (j *JobAPI) look(ctx khttp.Context) error {
	j.stamp(ctx)
	key, err := jobkey.Parse(ctx.Vars().Get("key"))
	if err != nil {
		return j.fault(ctx, bad("key", err.Error()))
	}
	deadline := j.Clock.Now().Add(lookTimeout)
	_, outcome := j.Relay.Forward(relay.Job{Key: key, Deadline: deadline, LookupOnly: true})
	if outcome.Reason == ledger.DeadlineReached {
		outcome = ledger.Outcome{State: ledger.Running}
	}
	return j.answer(ctx, key, outcome)
}

func (j *JobAPI) epoch(ctx khttp.Context) error {
	j.stamp(ctx)
	return ctx.JSON(http.StatusOK, epochDoc{
		Region: j.Region,
		Epoch:  j.View.Roster().Epoch(),
		Time:   j.Clock.Now().UnixMilli(),
	})
}

func (j *JobAPI) stamp(ctx khttp.Context) {
	header := ctx.Response().Header()
	header.Set(EpochHeader, strconv.FormatUint(j.View.Roster().Epoch(), 10))
	header.Set(TimeHeader, strconv.FormatInt(j.Clock.Now().UnixMilli(), 10))
}

func (j *JobAPI) fault(ctx khttp.Context, f *fault) error {
	j.Stats.CountRefusal("invalid")
	return ctx.JSON(f.status, faultDoc{Field: f.field, Error: f.err.Error()})
}

func (j *JobAPI) answer(ctx khttp.Context, key jobkey.Key, o ledger.Outcome) error {
	j.Stats.Count("outcome." + o.State.String())
	doc := outcomeDoc{Key: key.String(), State: o.State.String(), Reason: string(o.Reason)}
	for _, a := range o.Answers {
		doc.Answers = append(doc.Answers, rawAnswer(a))
	}
	return ctx.JSON(status(o.State), doc)
}

// rawAnswer returns a target's answer as JSON: as it is if it is JSON, and as a
// string otherwise.
func rawAnswer(answer []byte) json.RawMessage {
	if json.Valid(answer) {
		return answer
	}
	text, err := json.Marshal(string(answer))
	if err != nil {
		return json.RawMessage(`""`)
	}
	return text
}

func status(s ledger.State) int {
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
