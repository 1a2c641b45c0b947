package psim

import (
	"bytes"
	"context"
	"encoding/json"
	"hash/fnv"
	"io"
	"net/http"
	"strconv"
	"time"
)

const (
	callers     = 16 // that share the jobs and keep connections open
	maxAttempts = 4  // of a caller to submit a job
	// deadlineHeader is how long a caller waits for the answer, ms.
	deadlineHeader = "Gypsumlanding-Deadline-Ms"
)

// newCallers returns the clients of the callers, whose new connections the balancer
// distributes.
func newCallers(b *balancer) []*http.Client {
	clients := make([]*http.Client, callers)
	for i := range clients {
		clients[i] = &http.Client{Transport: &http.Transport{DialContext: b.dial}}
	}
	return clients
}

// SubmitJob submits a job of one step as a caller does, through the balancer, and returns
// the state that the caller gets: "done", "failed", "refused" or "unknown". After an
// attempt without a complete answer it submits the job again through another entry, up to
// four attempts in all. The result is recorded for Verdict. Each of the tasks takes
// runTimeMS and milliCPU thousandths of a core.
func (p *Platform) SubmitJob(id string, tasks, runTimeMS, milliCPU int) string {
	return p.SubmitCrashingJob(id, tasks, runTimeMS, milliCPU, NoCrash)
}

// SubmitCrashingJob does the same with tasks that crash their targets.
func (p *Platform) SubmitCrashingJob(id string, tasks, runTimeMS, milliCPU int, c Crash) string {
	specText, err := json.Marshal(jobSpec{RunTimeMS: runTimeMS, MilliCPU: milliCPU, Crash: c})
	if err != nil {
		panic(err)
	}
	body, err := json.Marshal(map[string]any{
		"spec": string(specText), "best-effort": true,
		"steps": []map[string]any{{"count": tasks, "cpu": milliCPU, "mem-mb": 1, "estimate-ms": runTimeMS}},
	})
	if err != nil {
		panic(err)
	}
	caller := hashOf(id) % callers
	client := p.callers[caller]
	var tried []int // entries
	state := "unknown"
	for len(tried) < maxAttempts && state == "unknown" {
		if len(tried) > 0 {
			time.Sleep(resubmitDelay)
			client = &http.Client{Transport: &http.Transport{DialContext: p.balancer.dial}}
		}
		a := &attempt{callerHash: hashOf("caller " + strconv.Itoa(int(caller))), tried: tried}
		sentAt := time.Now()
		code, answer := p.send(a.context(p.ctx), client, routeHost, http.MethodPost, routePrefix+id, body)
		if len(tried) > 0 {
			client.CloseIdleConnections()
		}
		entry := int(a.entry.Load()) + 1
		if waited := time.Since(sentAt); code == 0 && waited < requestTimeout && !p.stops.excuses(entryName(entry), sentAt) {
			p.checker.addViolation("job %s got no answer from e%d, which was told to stop, after %v", id, entry, waited)
		}
		tried = append(tried, int(a.entry.Load()))
		state = jobState(code, answer)
	}
	p.checker.jobAnswered(id, state, tasks, len(tried) > 1)
	return state
}

// CancelJob cancels a job at an entry, past the balancer. It reports whether that was acknowledged.
func (p *Platform) CancelJob(entry int, id string) bool {
	code, _ := p.send(p.ctx, &p.direct, p.balancer.frontAddr(entry-1), http.MethodDelete, routePrefix+id, nil)
	acknowledged := code == http.StatusOK || code == http.StatusGone
	if acknowledged {
		p.checker.jobCancelled(id)
	}
	return acknowledged
}

func hashOf(text string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(text))
	return h.Sum32()
}

// jobState returns the state that an answer gives to a job.
func jobState(code int, answer []byte) string {
	var reply struct {
		State string `json:"state"`
	}
	switch {
	case code == http.StatusOK && json.Unmarshal(answer, &reply) == nil:
		return reply.State
	case code == http.StatusServiceUnavailable || code == http.StatusTooManyRequests:
		return "refused"
	}
	return "unknown"
}

// RequestStatus sends a GET request for path to an entry, past the balancer, and returns the
// HTTP status of the answer, or 0 without an answer.
func (p *Platform) RequestStatus(entry int, path string) int {
	code, _ := p.send(p.ctx, &p.direct, p.balancer.frontAddr(entry-1), http.MethodGet, path, nil)
	return code
}

// EntryReady reports whether an entry answers its readiness check with status 200.
func (p *Platform) EntryReady(entry int) bool {
	return ready(&p.direct, address(entry, p.ports.ready))
}

// send sends a request to addr and returns the HTTP status and body of the answer. The
// status is 0 without a complete answer.
func (p *Platform) send(ctx context.Context, client *http.Client, addr, method, path string, body []byte) (int, []byte) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	req.Host = routeHost
	req.Header.Set(deadlineHeader, strconv.FormatInt(requestTimeout.Milliseconds(), 10))
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, answer
}
