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
	TimeLeftHeader = "Gyp-Time-Left" // ms before the answer is of no use
	StateHeader    = "Gyp-State"     // "notrun" with a 503: the target did not start the task
)

// Reasons of the target.
const (
	Unreachable    ledger.Reason = "unreachable" // the target could not be reached
	Declined       ledger.Reason = "declined"    // the target said that it did not start the task
	TaskFailed     ledger.Reason = "taskfailed"  // the target ran the task and failed
	AnswerTooLarge ledger.Reason = "answersize"  // the answer is too large
)

const (
	dialTimeout = 500 * time.Millisecond
	idleTimeout = 90 * time.Second
	// MaxAnswer is the largest answer of a task, in bytes.
	MaxAnswerSize = 1 << 20
)

var errRedirect = merry.Sentinel("target sent a redirect")

// Task is what the target is asked to run.
type Task struct {
	ID       starts.ID
	Entry    string
	Body     []byte
	Deadline time.Time // by the local clock
}

// Runner runs tasks on one target. Make one with NewRunner.
type Runner struct {
	client    *khttp.Client
	transport *http.Transport
	url       string
}

// NewRunner returns a runner for the target at addr that opens at most the
// given number of connections.
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
		khttp.WithTransport(onceOnly{transport}),
		khttp.WithTimeout(0),
		khttp.WithErrorDecoder(func(context.Context, *http.Response) error { return nil }),
	)
	if err != nil {
		return nil, err
	}
	return &Runner{client: client, transport: transport, url: "http://" + addr + "/v1/run"}, nil
}

// Run sends the task and waits for its outcome until ctx ends. A result of
// NotRun is sure; where the task may have arrived without an answer, the
// result is Unknown.
func (r *Runner) Run(ctx context.Context, t Task) starts.Result {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, r.url, bytes.NewReader(t.Body))
	if err != nil {
		return starts.Result{State: ledger.NotRun, Reason: Unreachable}
	}
	left := time.Until(t.Deadline).Milliseconds()
	req.Header.Set(KeyHeader, t.ID.Key)
	req.Header.Set(TaskHeader, strconv.Itoa(t.ID.Task))
	req.Header.Set(EntryHeader, t.Entry)
	req.Header.Set(TimeLeftHeader, strconv.FormatInt(left, 10))
	resp, err := r.client.Do(req)
	if err != nil {
		return broken(err)
	}
	return answer(resp)
}

// Close closes the idle connections.
func (r *Runner) Close() { r.transport.CloseIdleConnections() }

// broken tells a connection that was never made from one that broke.
func broken(err error) starts.Result {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return starts.Result{State: ledger.NotRun, Reason: Unreachable}
	}
	return starts.Result{State: ledger.Unknown, Reason: ledger.ConnectionBroken}
}

func answer(resp *http.Response) starts.Result {
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

// onceOnly keeps net/http from sending a request again after a redirect.
type onceOnly struct{ next http.RoundTripper }

// RoundTrip sends the request once.
func (o onceOnly) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := o.next.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode >= 300 && resp.StatusCode < 400 {
		_ = resp.Body.Close()
		return nil, errRedirect
	}
	return resp, nil
}
