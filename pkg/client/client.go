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
	epochHeader = "Gyp-Epoch"
	timeHeader  = "Gyp-Time"

	maxReply    = 512 << 20 // bytes
	retryPause  = 50 * time.Millisecond
	replyMargin = 300 * time.Millisecond
	// DefaultTimeout is the time given to a job that asks for none.
	DefaultTimeout = 5 * time.Second
)

// Errors of the client.
var (
	// ErrInvalid means that an entry refused the request before anything ran.
	ErrInvalid = merry.Sentinel("request refused as invalid")
	// ErrNoEntry means that no entry answered, so that no key could be made and
	// nothing was sent.
	ErrNoEntry = merry.Sentinel("no entry answered")
)

// State is what is known of a job.
type State string

// States of a job.
const (
	Answered State = "answered" // Answers has one element a task
	NotRun   State = "notrun"   // nothing ran, and nothing will under this key
	Failed   State = "failed"   // it ran and failed
	Unknown  State = "unknown"  // it may have run
	Running  State = "running"  // it still runs; only Look returns this
)

// Job is what the caller asks for.
type Job struct {
	Entry   string
	Timeout time.Duration // 0 means DefaultTimeout
	Tasks   []json.RawMessage
}

// Outcome is what came of a job.
type Outcome struct {
	Key     string
	State   State
	Reason  string
	Answers []json.RawMessage
}

// Client submits jobs. Entries must be set before use; it is safe for
// concurrent use.
type Client struct {
	Entries []string // base URLs, such as http://192.0.2.1:8080
	HTTP    *http.Client

	mu     sync.Mutex
	region string
	epoch  uint64
	offset time.Duration // entries' clock less ours
	next   int
}

type jobDoc struct {
	Key     string            `json:"key"`
	Entry   string            `json:"entry"`
	Timeout int64             `json:"timeout"`
	Tasks   []json.RawMessage `json:"tasks"`
}

type outcomeDoc struct {
	Key     string            `json:"key"`
	State   string            `json:"state"`
	Reason  string            `json:"reason"`
	Answers []json.RawMessage `json:"answers"`
	Field   string            `json:"field"`
	Error   string            `json:"error"`
}

type epochDoc struct {
	Region string `json:"region"`
}

// Do makes a key for the job, submits it, and resubmits it through other
// entries until an outcome is known or the job's time is over. Past that the
// outcome is Unknown. The error is ErrInvalid or ErrNoEntry.
func (c *Client) Do(ctx context.Context, job Job) (Outcome, error) {
	key, err := c.Key(ctx, job.Timeout)
	if err != nil {
		return Outcome{}, err
	}
	return c.Submit(ctx, key, job)
}

// Submit is Do with a key that Key made. It may be called again with the same
// key and job.
func (c *Client) Submit(ctx context.Context, key jobkey.Key, job Job) (Outcome, error) {
	ctx, cancel := context.WithDeadline(ctx, c.local(key.Deadline()).Add(replyMargin))
	defer cancel()
	for ctx.Err() == nil {
		out, err := c.Once(ctx, c.entry(), key.String(), job)
		if err == nil || merry.HTTPCode(err) != http.StatusInternalServerError {
			return out, err
		}
		select {
		case <-ctx.Done():
		case <-time.After(retryPause):
		}
	}
	return Outcome{Key: key.String(), State: Unknown, Reason: "noreply"}, nil
}

// Once submits the job through one entry, without a retry. An empty key leaves
// it to the entry to make one.
func (c *Client) Once(ctx context.Context, entry, key string, job Job) (Outcome, error) {
	body, err := json.Marshal(jobDoc{
		Key: key, Entry: job.Entry, Timeout: job.Timeout.Milliseconds(), Tasks: job.Tasks,
	})
	if err != nil {
		return Outcome{}, merry.Append(ErrInvalid, err.Error(), merry.WithHTTPCode(http.StatusBadRequest))
	}
	return c.call(ctx, http.MethodPost, entry+"/v1/jobs", body)
}

// Look asks for the outcome of a key without starting anything.
func (c *Client) Look(ctx context.Context, key string) (Outcome, error) {
	return c.call(ctx, http.MethodGet, c.entry()+"/v1/jobs/"+key, nil)
}

// Key makes a key for a job that may take the given time, 0 meaning
// DefaultTimeout. It asks an entry for the epoch when it knows none.
func (c *Client) Key(ctx context.Context, timeout time.Duration) (jobkey.Key, error) {
	if timeout == 0 {
		timeout = DefaultTimeout
	}
	if err := c.learn(ctx); err != nil {
		return jobkey.Key{}, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return jobkey.New(c.region, c.epoch, time.Now().Add(c.offset+timeout)), nil
}

// learn asks the entries for the region, the epoch and the time, once.
func (c *Client) learn(ctx context.Context) error {
	c.mu.Lock()
	known := c.region != ""
	c.mu.Unlock()
	if known {
		return nil
	}
	for range c.Entries {
		var doc epochDoc
		status, err := c.exchange(ctx, http.MethodGet, c.entry()+"/v1/epoch", nil, &doc)
		if err == nil && status == http.StatusOK {
			c.mu.Lock()
			c.region = doc.Region
			c.mu.Unlock()
			return nil
		}
	}
	return ErrNoEntry
}

func (c *Client) call(ctx context.Context, method, url string, body []byte) (Outcome, error) {
	var doc outcomeDoc
	status, err := c.exchange(ctx, method, url, body, &doc)
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

// exchange makes one request and reads the JSON of the reply.
func (c *Client) exchange(ctx context.Context, method, url string, body []byte, reply any) (int, error) {
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
	c.note(resp.Header)
	return resp.StatusCode, json.NewDecoder(io.LimitReader(resp.Body, maxReply)).Decode(reply)
}

// note takes the epoch and the clock that come with every reply.
func (c *Client) note(h http.Header) {
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
	c.offset = time.Until(time.UnixMilli(ms))
}

func (c *Client) local(t time.Time) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return t.Add(-c.offset)
}

// entry returns the entries in turn.
func (c *Client) entry() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next++
	return c.Entries[c.next%len(c.Entries)]
}
