package targ

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/gypsumlanding/gypsumlanding/internal/node/target"
)

const (
	announceInterval = time.Second
	announceTimeout  = 500 * time.Millisecond
	maxBody          = 1 << 20 // bytes
	fullSpeedPercent = 100
)

// Modes of a Target.
const (
	ModeOK        = "ok"      // runs tasks
	ModeFail      = "fail"    // fails tasks as soon as they have started
	ModeHang      = "hang"    // starts tasks and never answers
	ModeDecline   = "decline" // reports correctly that it did not start the task
	ModeDropReply = "drop"    // runs tasks and closes the connection before the answer
)

// Target is a simulated target. Set the exported fields before the target serves.
type Target struct {
	NodeAddr string              // address of the target's node; empty means none
	Announce target.Announcement // sent to the node
	Speed    int                 // percent of full speed; 0 means full speed

	mu        sync.Mutex
	mode      string
	leaving   bool // announced to the node
	starts    []TaskStart
	active    int // tasks running
	maxActive int // highest value of active
}

// TaskStart is one start of a task.
type TaskStart struct {
	Key        string `json:"key"`   // of the job
	TaskNumber int    `json:"task"`  // number of the task in its job
	Token      string `json:"token"` // of the task's body
}

// TaskBody is the body of a task.
type TaskBody struct {
	Token     string `json:"token"` // identifies the task; repeated in the answer
	RunTimeMS int64  `json:"time"`  // at full speed
}

// Answer is the answer to a task.
type Answer struct {
	Token string `json:"token"`
}

// Report lists the tasks that a Target has started.
type Report struct {
	Starts    []TaskStart `json:"starts"`
	Active    int         `json:"active"` // tasks running now
	MaxActive int         `json:"most"`   // highest number of tasks that ran at the same time
}

// modeDoc is the JSON that sets the mode.
type modeDoc struct {
	Mode    string `json:"mode"`
	Leaving bool   `json:"leaving"`
}

// announceDoc is the JSON of an announcement, as the node reads it.
type announceDoc struct {
	Service     string `json:"service"`
	Address     string `json:"address"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
	Domain      string `json:"domain"`
	Leaving     bool   `json:"leaving"`
}

// Serve registers the target's routes with srv, and those that return the report and
// set the mode.
func (t *Target) Serve(srv *khttp.Server) {
	srv.HandleFunc("/v1/run", t.handleRun)
	r := srv.Route("/")
	r.GET("/starts", func(ctx khttp.Context) error { return ctx.JSON(http.StatusOK, t.Report()) })
	r.POST("/mode", t.setMode)
}

// Report returns the report on all tasks so far.
func (t *Target) Report() Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Report{Starts: append([]TaskStart{}, t.starts...), Active: t.active, MaxActive: t.maxActive}
}

// RunAnnouncer announces the target to its node every announceInterval until ctx
// ends. It returns at once if the target has no node.
func (t *Target) RunAnnouncer(ctx context.Context) {
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for t.NodeAddr != "" {
		t.announce(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// handleRun runs a task as the current mode requires.
func (t *Target) handleRun(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil {
		return
	}
	var task TaskBody
	if err := json.Unmarshal(body, &task); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	mode := t.currentMode()
	if mode == ModeDecline {
		w.Header().Set(target.StateHeader, "notrun")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	t.recordStart(r, task)
	defer t.recordEnd()
	switch mode {
	case ModeFail:
		http.Error(w, "task failed because of mode fail", http.StatusInternalServerError)
		return
	case ModeHang:
		<-r.Context().Done()
		return
	}
	time.Sleep(t.runTime(task))
	if mode == ModeDropReply {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(Answer{Token: task.Token})
}

// recordStart records the start of the task that r asks for.
func (t *Target) recordStart(r *http.Request, task TaskBody) {
	number, _ := strconv.Atoi(r.Header.Get(target.TaskHeader))
	t.mu.Lock()
	defer t.mu.Unlock()
	t.starts = append(t.starts, TaskStart{Key: r.Header.Get(target.KeyHeader), TaskNumber: number, Token: task.Token})
	t.active++
	t.maxActive = max(t.maxActive, t.active)
}

func (t *Target) recordEnd() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.active--
}

// runTime returns the run time of a task at the target's speed.
func (t *Target) runTime(task TaskBody) time.Duration {
	speed := t.Speed
	if speed == 0 {
		speed = fullSpeedPercent
	}
	return time.Duration(task.RunTimeMS) * time.Millisecond * fullSpeedPercent / time.Duration(speed)
}

func (t *Target) currentMode() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.mode
}

// setMode sets the mode and whether the target is leaving, and announces the latter
// to the node at once.
func (t *Target) setMode(ctx khttp.Context) error {
	var doc modeDoc
	if err := json.NewDecoder(ctx.Request().Body).Decode(&doc); err != nil {
		return ctx.JSON(http.StatusBadRequest, nil)
	}
	t.mu.Lock()
	t.mode = doc.Mode
	t.leaving = doc.Leaving
	t.mu.Unlock()
	t.announce(ctx)
	return ctx.JSON(http.StatusOK, nil)
}

// announce announces the target to its node once. Errors are ignored, since the next
// announcement follows soon.
func (t *Target) announce(ctx context.Context) {
	t.mu.Lock()
	leaving := t.leaving
	t.mu.Unlock()
	a := t.Announce
	body, err := json.Marshal(announceDoc{
		Service: a.Service, Address: a.Addr, Slots: a.Slots, Connections: a.Connections,
		Domain: a.Domain, Leaving: leaving,
	})
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+t.NodeAddr+"/v1/announce", bytes.NewReader(body))
	if err != nil {
		return
	}
	resp, err := http.DefaultClient.Do(req)
	if err == nil {
		_ = resp.Body.Close()
	}
}
