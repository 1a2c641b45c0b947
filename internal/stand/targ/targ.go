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
	fullSpeed        = 100     // percent
)

// Modes of failure.
const (
	ModeOK      = "ok"      // works
	ModeFail    = "fail"    // fails every task at once
	ModeHang    = "hang"    // starts tasks and never answers
	ModeDecline = "decline" // says truly that it did not start the task
	ModeDrop    = "drop"    // runs tasks and cuts the connection before the answer
)

// Target is the stand-in. Node and Announce must be set before Run.
type Target struct {
	NodeAddr string // address of the node beside it, "" for none
	Announce target.Announcement
	Speed    int // percent of full speed; 0 means full speed

	mu     sync.Mutex
	mode   string
	leaves bool
	starts []TaskStart
	active int
	most   int
}

// Start is one start of a task.
type TaskStart struct {
	Key        string `json:"key"`
	TaskNumber int    `json:"task"`
	Token      string `json:"token"`
}

// Work is the body of a task.
type TaskBody struct {
	Token     string `json:"token"`
	RunTimeMS int64  `json:"time"` // ms at full speed
}

// Answer is the answer of a task.
type Answer struct {
	Token string `json:"token"`
}

// Report is what the stand-in saw.
type Report struct {
	Starts    []TaskStart `json:"starts"`
	Active    int         `json:"active"` // tasks running now
	MaxActive int         `json:"most"`   // tasks that ever ran at a time
}

type modeDoc struct {
	Mode    string `json:"mode"`
	Leaving bool   `json:"leaving"`
}

type announceDoc struct {
	Service     string `json:"service"`
	Address     string `json:"address"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
	Domain      string `json:"domain"`
	Leaving     bool   `json:"leaving"`
}

// Serve adds the stand-in's routes to srv.
func (t *Target) Serve(srv *khttp.Server) {
	srv.HandleFunc("/v1/run", t.run)
	r := srv.Route("/")
	r.GET("/starts", func(ctx khttp.Context) error { return ctx.JSON(http.StatusOK, t.Report()) })
	r.POST("/mode", t.setMode)
}

// Report returns what the stand-in saw so far.
func (t *Target) Report() Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Report{Starts: append([]TaskStart{}, t.starts...), Active: t.active, MaxActive: t.most}
}

// Run announces the target to its node until ctx ends.
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

func (t *Target) run(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil {
		return
	}
	var work TaskBody
	if err := json.Unmarshal(body, &work); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	mode := t.present()
	if mode == ModeDecline {
		w.Header().Set(target.StateHeader, "notrun")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	t.begin(r, work)
	defer t.end()
	switch mode {
	case ModeFail:
		http.Error(w, "failed as told", http.StatusInternalServerError)
		return
	case ModeHang:
		<-r.Context().Done()
		return
	}
	time.Sleep(t.duration(work))
	if mode == ModeDrop {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(Answer{Token: work.Token})
}

func (t *Target) begin(r *http.Request, work TaskBody) {
	task, _ := strconv.Atoi(r.Header.Get(target.TaskHeader))
	t.mu.Lock()
	defer t.mu.Unlock()
	t.starts = append(t.starts, TaskStart{Key: r.Header.Get(target.KeyHeader), TaskNumber: task, Token: work.Token})
	t.active++
	t.most = max(t.most, t.active)
}

func (t *Target) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.active--
}

func (t *Target) duration(work TaskBody) time.Duration {
	speed := t.Speed
	if speed == 0 {
		speed = fullSpeed
	}
	return time.Duration(work.RunTimeMS) * time.Millisecond * fullSpeed / time.Duration(speed)
}

func (t *Target) present() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.mode
}

func (t *Target) setMode(ctx khttp.Context) error {
	var doc modeDoc
	if err := json.NewDecoder(ctx.Request().Body).Decode(&doc); err != nil {
		return ctx.JSON(http.StatusBadRequest, nil)
	}
	t.mu.Lock()
	t.mode = doc.Mode
	t.leaves = doc.Leaving
	t.mu.Unlock()
	t.announce(ctx)
	return ctx.JSON(http.StatusOK, nil)
}

func (t *Target) announce(ctx context.Context) {
	t.mu.Lock()
	leaving := t.leaves
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
