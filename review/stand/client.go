package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// step is a step of a job.
type step struct {
	Count  int    `json:"count"`
	CPU    int    `json:"cpu"`
	Memory int    `json:"mem-mb"`
	MS     int    `json:"estimate-ms"`
	After  []int  `json:"after,omitempty"`
	Label  string `json:"required-label,omitempty"`
	Most   int    `json:"max-per-server,omitempty"`
}

// job is a best-effort job.
type job struct {
	ID    string
	Spec  string
	Steps []step
}

func newJob(taskMS int, steps ...step) job {
	spec, _ := json.Marshal(taskSpec{MS: taskMS, CPU: steps[0].CPU})
	return job{ID: fmt.Sprintf("%016x", rand.Uint64()), Spec: string(spec), Steps: steps}
}

// client sends the requests of clients.
type client struct {
	c    *cluster
	http http.Client
	via  map[int]string // addresses that forward to entries; else clients connect to these

	mu        sync.Mutex
	cancelled map[string]bool // jobs that the client has cancelled; they don't come again
}

func newClient(c *cluster) *client {
	return &client{c: c, cancelled: map[string]bool{}, http: http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
}

// send sends one request to an entry and returns the status and the body of the answer; 0
// without a complete answer.
func (k *client) send(entry int, method, id string, body []byte, wait time.Duration) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	addr := k.via[entry]
	if addr == "" {
		addr = k.c.front(entry)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+routePrefix+id, bytes.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	req.Host = routeHost
	req.Header.Set("Gypsumlanding-Deadline-Ms", strconv.FormatInt(wait.Milliseconds(), 10))
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	k.c.rec.add(event{kind: "sent", job: id, detail: fmt.Sprintf("%s to e%d, waits %v", method, entry, wait.Round(time.Millisecond))})
	status, text := 0, ""
	resp, err := k.http.Do(req)
	if err == nil {
		var b []byte
		b, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		text = string(bytes.TrimSpace(b))
		if err == nil {
			status = resp.StatusCode
		}
	}
	if err != nil {
		text = "no answer: " + err.Error()
	}
	k.c.rec.add(event{kind: "answered", job: id, n: status, detail: fmt.Sprintf("%s at e%d: %s", method, entry, text)})
	return status, text
}

// cancel cancels a job at an entry and returns the status of the answer.
func (k *client) cancel(entry int, id string) int {
	k.mu.Lock()
	k.cancelled[id] = true
	k.mu.Unlock()
	status, _ := k.send(entry, http.MethodDelete, id, nil, 5*time.Second)
	return status
}

func (k *client) hasCancelled(id string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.cancelled[id]
}

// submit submits a job until it is answered, refused or the client has waited for as long
// as it may: without an answer, or after 502 or 504, it comes again 1,300 ms later, at the
// next entry. It returns the last status.
func (k *client) submit(j job, entry, entries int, wait time.Duration) (int, string) {
	body, _ := json.Marshal(map[string]any{"spec": j.Spec, "best-effort": true, "steps": j.Steps})
	until := time.Now().Add(wait)
	for {
		status, text := k.send(entry, http.MethodPost, j.ID, body, time.Until(until))
		if status != 0 && status != 502 && status != 504 {
			return status, text
		}
		time.Sleep(resendTime)
		if time.Until(until) < 50*time.Millisecond || k.hasCancelled(j.ID) {
			return status, text
		}
		entry = entry%entries + 1
	}
}

// submitEach is submit for a client that waits for so long for the answer to each of three
// attempts.
func (k *client) submitEach(j job, entry, entries int, wait time.Duration) {
	body, _ := json.Marshal(map[string]any{"spec": j.Spec, "best-effort": true, "steps": j.Steps})
	for range 3 {
		status, _ := k.send(entry, http.MethodPost, j.ID, body, wait)
		if status != 0 && status != 502 && status != 504 {
			return
		}
		time.Sleep(resendTime)
		entry = entry%entries + 1
	}
}
