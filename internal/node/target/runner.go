package target

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"
	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/gypsumlanding/gypsumlanding/internal/core/ledger"
	"github.com/gypsumlanding/gypsumlanding/internal/core/starts"
)

// Headers of a task's request and answer.
const (
	KeyHeader      = "Gyp-Key"       // the job's key
	TaskHeader     = "Gyp-Task"      // the task's number in the job
	EntryHeader    = "Gyp-Entry"     // the catalogue entry
	TimeLeftHeader = "Gyp-Time-Left" // time left until the deadline of the task, ms
	StateHeader    = "Gyp-State"     // "notrun" with a 503: the target did not start the task
)

// Reasons for a task that the target did not answer.
const (
	Unreachable    ledger.Reason = "unreachable" // no connection to the target could be made
	Declined       ledger.Reason = "declined"    // the target replied that it did not start the task
	TaskFailed     ledger.Reason = "taskfailed"  // the target replied with a failure
	AnswerTooLarge ledger.Reason = "answersize"  // the answer is larger than MaxAnswerSize
)

const (
	dialTimeout = 500 * time.Millisecond
	idleTimeout = 90 * time.Second
	// MaxAnswerSize is the largest answer of a task, in bytes.
	MaxAnswerSize = 1 << 20
)

var errRedirect = merry.Sentinel("target replied with a redirect")

// Task is a task for the target.
type Task struct {
	ID       starts.ID
	Entry    string    // name of the catalogue entry
	Body     []byte    // JSON, passed to the target unchanged
	Deadline time.Time // by the local clock
}

// Runner runs tasks on one target. It must be made by NewRunner.
type Runner struct {
	client    *khttp.Client
	transport *http.Transport
	url       string
}

// NewRunner returns a runner for the target at addr that opens at most the given
// number of connections at a time.
func NewRunner(ctx context.Context, addr string, connections int) (*Runner, error) {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxConnsPerHost:     connections,
		MaxIdleConnsPerHost: connections,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	client, err := khttp.NewClient(ctx,
		khttp.WithEndpoint(addr),
		khttp.WithTransport(noRedirects{transport}),
		khttp.WithTimeout(0),
		khttp.WithErrorDecoder(func(context.Context, *http.Response) error { return nil }),
	)
	if err != nil {
		return nil, err
	}
	return &Runner{client: client, transport: transport, url: "http://" + addr + "/v1/run"}, nil
}

// Run sends the task and waits for its result until ctx ends. The state NotRun means
// that the task certainly did not run. If the task may have reached the target and
// there was no answer, the state is Unknown.
func (r *Runner) Run(ctx context.Context, t Task) starts.Result {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, r.url, bytes.NewReader(t.Body))
	if err != nil {
		return starts.Result{State: ledger.NotRun, Reason: Unreachable}
	}
	timeLeft := time.Until(t.Deadline).Milliseconds()
	req.Header.Set(KeyHeader, t.ID.Key)
	req.Header.Set(TaskHeader, strconv.Itoa(t.ID.Task))
	req.Header.Set(EntryHeader, t.Entry)
	req.Header.Set(TimeLeftHeader, strconv.FormatInt(timeLeft, 10))
	resp, err := r.client.Do(req)
	if err != nil {
		return resultOfError(err)
	}
	return resultOfResponse(resp)
}

// Close closes the idle connections. Running tasks continue.
func (r *Runner) Close() { r.transport.CloseIdleConnections() }

// resultOfError returns the result of a request that failed: NotRun if no connection
// was made, and otherwise Unknown.
func resultOfError(err error) starts.Result {
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return starts.Result{State: ledger.NotRun, Reason: Unreachable}
	}
	return starts.Result{State: ledger.Unknown, Reason: ledger.ConnectionBroken}
}

// resultOfResponse reads the body of a response and returns the result of the task.
// Only a 503 response with the state header notrun means that the task did not start;
// any other status than 200 means that it failed.
func resultOfResponse(resp *http.Response) starts.Result {
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, MaxAnswerSize+1))
	switch {
	case resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(StateHeader) == ledger.NotRun.String():
		return starts.Result{State: ledger.NotRun, Reason: Declined}
	case resp.StatusCode != http.StatusOK:
		return starts.Result{State: ledger.Failed, Reason: TaskFailed}
	case err != nil:
		return starts.Result{State: ledger.Unknown, Reason: ledger.ConnectionBroken}
	case len(body) > MaxAnswerSize:
		return starts.Result{State: ledger.Failed, Reason: AnswerTooLarge}
	}
	return starts.Result{State: ledger.Answered, Answer: body}
}

// noRedirects is a transport that fails on a redirect, so that net/http does not send
// the task again.
type noRedirects struct{ next http.RoundTripper }

// RoundTrip sends the request once. It returns an error if the response is a redirect.
func (t noRedirects) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := t.next.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode >= 300 && resp.StatusCode < 400 {
		_ = resp.Body.Close()
		return nil, errRedirect
	}
	return resp, nil
}
