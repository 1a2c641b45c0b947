package client

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/gypsumlanding/gypsumlanding/pkg/jobkey"
)

const (
	epochHeader = "Gyp-Epoch" // roster epoch
	timeHeader  = "Gyp-Time"  // cluster time, Unix ms

	maxReplySize  = 512 << 20              // bytes read of the body of a reply
	retryInterval = 50 * time.Millisecond  // between two submissions of a job
	replyMargin   = 300 * time.Millisecond // how long after the deadline a reply is still awaited
	// DefaultTimeout is the timeout of jobs that have none of their own.
	DefaultTimeout = 5 * time.Second
)

// Errors returned by Client.
var (
	// ErrInvalid means that the request could not be encoded or that an entry rejected
	// it as invalid. Nothing ran.
	ErrInvalid = merry.Sentinel("request rejected as invalid")
	// ErrNoEntry means that no entry answered, so that no key could be created and
	// no job was sent.
	ErrNoEntry = merry.Sentinel("no entry answered")
)

// State is the state of a job as far as it is known.
type State string

// States of a job.
const (
	Answered State = "answered" // all tasks were answered; Answers has one element for each
	NotRun   State = "notrun"   // nothing has run and nothing will run under this key
	Failed   State = "failed"   // the job ran and failed
	Unknown  State = "unknown"  // the job may have run
	Running  State = "running"  // the job is running; only Look returns this
)

// Job is a job to submit.
type Job struct {
	Entry   string            // name of the catalogue entry
	Timeout time.Duration     // 0 means DefaultTimeout
	Tasks   []json.RawMessage // input of each task
}

// Outcome is the outcome of a job.
type Outcome struct {
	Key     string
	State   State
	Reason  string            // why the job has no answers; empty if it has
	Answers []json.RawMessage // answer to each task
}

// Client submits jobs. Entries must be set before use. It is safe for concurrent use.
type Client struct {
	Entries []string     // base URLs, such as http://192.0.2.1:8080
	HTTP    *http.Client // nil means http.DefaultClient

	mu          sync.Mutex
	region      string        // empty until an entry has answered
	epoch       uint64        // newest roster epoch received
	clockOffset time.Duration // clock of the entries minus the local clock
	nextIndex   int           // counts the uses of nextEntry
}

// jobDoc is the body of a request to run a job.
type jobDoc struct {
	Key     string            `json:"key"`
	Entry   string            `json:"entry"`
	Timeout int64             `json:"timeout"` // ms
	Tasks   []json.RawMessage `json:"tasks"`
}

// outcomeDoc is the body of a reply: the outcome of a job, or the invalid field of the
// request and what is wrong with it.
type outcomeDoc struct {
	Key     string            `json:"key"`
	State   string            `json:"state"`
	Reason  string            `json:"reason"`
	Answers []json.RawMessage `json:"answers"`
	Field   string            `json:"field"`
	Error   string            `json:"error"`
}

// epochDoc is the body of a reply to a request for the epoch.
type epochDoc struct {
	Region string `json:"region"`
}

// Do creates a key for the job, submits it, and resubmits it through other entries until
// its outcome is known. Shortly after the deadline of the job, or once ctx is done, it
// returns the state Unknown. The error is ErrInvalid or ErrNoEntry.
func (c *Client) Do(ctx context.Context, job Job) (Outcome, error) {
	key, err := c.Key(ctx, job.Timeout)
	if err != nil {
		return Outcome{}, err
	}
	return c.Submit(ctx, key, job)
}

// Submit is like Do with a key created by Key. It may be called again with the same key
// and job.
func (c *Client) Submit(ctx context.Context, key jobkey.Key, job Job) (Outcome, error) {
	ctx, cancel := context.WithDeadline(ctx, c.toLocalClock(key.Deadline()).Add(replyMargin))
	defer cancel()
	for ctx.Err() == nil {
		out, err := c.Once(ctx, c.nextEntry(), key.String(), job)
		// merry reports the code 500 for errors without a code of their own, which mean
		// that no valid reply arrived.
		if err == nil || merry.HTTPCode(err) != http.StatusInternalServerError {
			return out, err
		}
		select {
		case <-ctx.Done():
		case <-time.After(retryInterval):
		}
	}
	return Outcome{Key: key.String(), State: Unknown, Reason: "noreply"}, nil
}

// Once submits the job once, through the entry with the given base URL. If key is empty,
// the entry creates one.
func (c *Client) Once(ctx context.Context, entry, key string, job Job) (Outcome, error) {
	body, err := json.Marshal(jobDoc{
		Key: key, Entry: job.Entry, Timeout: job.Timeout.Milliseconds(), Tasks: job.Tasks,
	})
	if err != nil {
		return Outcome{}, merry.Append(ErrInvalid, err.Error(), merry.WithHTTPCode(http.StatusBadRequest))
	}
	return c.requestOutcome(ctx, http.MethodPost, entry+"/v1/jobs", body)
}

// Look returns the outcome of the job with the given key. It starts nothing.
func (c *Client) Look(ctx context.Context, key string) (Outcome, error) {
	return c.requestOutcome(ctx, http.MethodGet, c.nextEntry()+"/v1/jobs/"+key, nil)
}

// Key creates a key for a job with the given timeout, where 0 means DefaultTimeout. The
// first call asks an entry for the region and the epoch; it returns ErrNoEntry if none
// answers.
func (c *Client) Key(ctx context.Context, timeout time.Duration) (jobkey.Key, error) {
	if timeout == 0 {
		timeout = DefaultTimeout
	}
	if err := c.fetchRegion(ctx); err != nil {
		return jobkey.Key{}, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return jobkey.New(c.region, c.epoch, time.Now().Add(c.clockOffset+timeout)), nil
}

// fetchRegion asks the entries in turn for the region, unless it is known already. Their
// replies also contain the epoch and the time.
func (c *Client) fetchRegion(ctx context.Context) error {
	c.mu.Lock()
	known := c.region != ""
	c.mu.Unlock()
	if known {
		return nil
	}
	for range c.Entries {
		var doc epochDoc
		status, err := c.roundTrip(ctx, http.MethodGet, c.nextEntry()+"/v1/epoch", nil, &doc)
		if err == nil && status == http.StatusOK {
			c.mu.Lock()
			c.region = doc.Region
			c.mu.Unlock()
			return nil
		}
	}
	return ErrNoEntry
}

// requestOutcome makes one request and returns the outcome in the reply. The error is
// ErrInvalid if the entry rejected the request.
func (c *Client) requestOutcome(ctx context.Context, method, url string, body []byte) (Outcome, error) {
	var doc outcomeDoc
	status, err := c.roundTrip(ctx, method, url, body, &doc)
	if err != nil {
		return Outcome{}, err
	}
	if doc.State == "" && status >= 400 && status < 500 {
		return Outcome{}, merry.Append(ErrInvalid, doc.Field+": "+doc.Error, merry.WithHTTPCode(status))
	}
	if doc.State == "" {
		return Outcome{}, merry.Errorf("entry answered with status %d", status)
	}
	return Outcome{Key: doc.Key, State: State(doc.State), Reason: doc.Reason, Answers: doc.Answers}, nil
}

// roundTrip makes one request, decodes the JSON of its reply into reply, and returns the
// HTTP status.
func (c *Client) roundTrip(ctx context.Context, method, url string, body []byte, reply any) (int, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Content-Type", "application/json")
	client := c.HTTP
	if client == nil {
		client = http.DefaultClient
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	c.recordHeaders(resp.Header)
	return resp.StatusCode, json.NewDecoder(io.LimitReader(resp.Body, maxReplySize)).Decode(reply)
}

// recordHeaders stores the epoch and the clock that each reply contains in its headers.
func (c *Client) recordHeaders(h http.Header) {
	epoch, err := strconv.ParseUint(h.Get(epochHeader), 10, 64)
	if err != nil {
		return
	}
	ms, err := strconv.ParseInt(h.Get(timeHeader), 10, 64)
	if err != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.epoch = max(c.epoch, epoch)
	c.clockOffset = time.Until(time.UnixMilli(ms))
}

// toLocalClock converts a time by the clock of the entries to one by the local clock.
func (c *Client) toLocalClock(t time.Time) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return t.Add(-c.clockOffset)
}

// nextEntry returns the base URL of the next entry; it cycles through all of them.
func (c *Client) nextEntry() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nextIndex++
	return c.Entries[c.nextIndex%len(c.Entries)]
}
