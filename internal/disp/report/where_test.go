package report

import (
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/coord"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/route"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/rsrc"
)

// newTestWhere returns a handler with one route, h.example/p/, for jobs of at most 100 bytes.
// It decodes the bodies "good" and "old", the latter as of a kind that is not supported.
// Jobs are passed to where.
func newTestWhere(where func(coord.Job) coord.Plan) *WhereHandler {
	h := &WhereHandler{
		Entry: "e1", Config: &route.Current{},
		FindRoute:    (*route.Table).Find,
		MaxBodyBytes: func(*route.Table) int64 { return 100 },
		DecodeJob: func(body []byte, r route.Route) (coord.Job, string, error) {
			switch string(body) {
			case "good":
				return coord.Job{Route: r}, "", nil
			case "old":
				return coord.Job{Route: r}, "kind.old", nil
			}
			return coord.Job{}, "", errors.New("no steps")
		},
		Stopping: func() (time.Duration, bool) { return 0, false },
		Where:    where,
		Now:      func() boot.Time { return boot.Time(time.Hour) },
	}
	h.Config.StoreIfNewer(&route.Table{Version: 7, Routes: []route.Route{{Name: "plan", Host: "h.example", PathPrefix: "/p/", Service: "s", Priority: 2}}})
	return h
}

// query returns the response of h to a query.
func query(h http.Handler, method, host, path, wait, body string) *httptest.ResponseRecorder {
	params := url.Values{HostParam: {host}, PathParam: {path}}
	if wait != "" {
		params.Set(WaitParam, wait)
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(method, WherePath+"?"+params.Encode(), strings.NewReader(body)))
	return w
}

// A query that can't be answered must get the status for its fault, with a text that names it.
func TestWhereHandlerRejects(t *testing.T) {
	for _, tt := range []struct {
		name                           string
		method, host, path, wait, body string
		status                         int
		text                           string
	}{
		{"not a POST", "GET", "h.example", "/p/1", "", "good", 405, "want a POST"},
		{"other host", "POST", "x.example", "/p/1", "", "good", 404, `no route for host \"x.example\" and path \"/p/1\" in version 7`},
		{"other path", "POST", "h.example", "/q/1", "", "good", 404, "no route"},
		{"no host or path", "POST", "", "", "", "good", 404, "no route"},
		{"malformed wait", "POST", "h.example", "/p/1", "soon", "good", 400, "invalid wait"},
		{"negative wait", "POST", "h.example", "/p/1", "-1", "good", 400, "invalid wait"},
		{"long wait", "POST", "h.example", "/p/1", "86400001", "good", 400, "invalid wait"},
		{"malformed job", "POST", "h.example", "/p/1", "", "bad", 400, "invalid job: no steps"},
		{"long job", "POST", "h.example", "/p/1", "", strings.Repeat(" ", 101), 400, "reading the job: http: request body too large"},
	} {
		h := newTestWhere(func(coord.Job) coord.Plan { t.Errorf("%s: the job is planned", tt.name); return coord.Plan{} })
		w := query(h, tt.method, tt.host, tt.path, tt.wait, tt.body)
		var doc ErrorDoc
		if err := json.Unmarshal(w.Body.Bytes(), &doc); err != nil || w.Code != tt.status || !strings.Contains(w.Body.String(), tt.text) {
			t.Errorf("%s: got %d %q, want %d %s", tt.name, w.Code, w.Body, tt.status, tt.text)
		}
	}
}

// An entry without a configuration must not say that there is no route.
func TestWhereHandlerWithoutConfiguration(t *testing.T) {
	h := newTestWhere(nil)
	h.Config = &route.Current{}
	if w := query(h, "POST", "h.example", "/p/1", "", "good"); w.Code != http.StatusServiceUnavailable || !strings.Contains(w.Body.String(), "no configuration") {
		t.Errorf("got %d %q", w.Code, w.Body)
	}
}

// Jobs that are refused before their admission must be told as refused, not as malformed.
func TestWhereHandlerRefusesBeforeAdmission(t *testing.T) {
	h := newTestWhere(func(coord.Job) coord.Plan { t.Error("the job is planned"); return coord.Plan{} })
	if w := query(h, "POST", "h.example", "/p/1", "", "old"); w.Code != http.StatusOK || !strings.Contains(w.Body.String(), `"refused":"kind.old","retry-earliest":0`) {
		t.Errorf("job of an unsupported kind: got %d %q", w.Code, w.Body)
	}
	h.Stopping = func() (time.Duration, bool) { return time.Second, true }
	if w := query(h, "POST", "h.example", "/p/1", "", "good"); w.Code != http.StatusOK || !strings.Contains(w.Body.String(), `"refused":"stopping","retry-earliest":1000`) {
		t.Errorf("entry that is stopping: got %d %q", w.Code, w.Body)
	}
}

// The job must be planned as if it arrived now, and each part of the plan must be told.
func TestWhereHandlerTellsPlan(t *testing.T) {
	var planned coord.Job
	h := newTestWhere(func(j coord.Job) coord.Plan {
		planned = j
		a := coord.Admission{Refused: "overload", RetryEarliest: 400 * time.Millisecond, RetryLatest: 500 * time.Millisecond}
		return coord.Plan{Admission: a, RefusedAfter: 440 * time.Millisecond, Steps: []coord.StepPlan{{
			Admission: a, ExpectedRunTime: 100 * time.Millisecond, ExpectedWait: 300 * time.Millisecond, MaxWait: 60 * time.Millisecond, Slack: 120 * time.Millisecond, Candidates: 2, Usable: 1,
			Gates: []coord.GatePlan{
				{
					Addr: "g0", Target: "t0", AnswerAge: 20 * time.Millisecond, Capacity: rsrc.Vector{CPU: 1000, Memory: 64, GPU: 2}, Used: rsrc.Vector{CPU: 900, Memory: 32, GPU: 1}, QueuedWork: 5, Speed: 0.5,
					Candidate: true, Fits: true, Chosen: true, IgnoreBreaker: true, Wait: 300 * time.Microsecond, RunTime: 200 * time.Millisecond, Finish: 200*time.Millisecond + 300*time.Microsecond, Against: []string{"aside: failing", "full"},
				},
				{Addr: "g1", AnswerAge: -1, Against: []string{"silent"}},
			},
		}}}
	})
	w := query(h, "POST", "h.example", "/p/abc", "1500", "good")
	now := boot.Time(time.Hour)
	if planned.ID != "abc" || planned.ConfigVersion != 7 || planned.Route.Name != "plan" || planned.Arrived != now || planned.WaitsUntil != now.Add(1500*time.Millisecond) {
		t.Errorf("planned %+v", planned)
	}
	want := `{"entry":"e1","version":7,"route":"plan","service":"s","priority":2,"refused":"overload","retry-earliest":400,"retry-latest":500,"refused-after":440,` +
		`"steps":[{"refused":"overload","retry-earliest":400,"retry-latest":500,"run":100,"wait":300,"max-wait":60,"slack":120,"after":[],"candidates":2,"usable":1,"gates":[` +
		`{"address":"g0","target":"t0","age":20,"cpu":1000,"used":900,"mem-mb":64,"used-mb":32,"gpu":2,"used-gpu":1,"queued":5,"speed":50,"candidate":true,"fits":true,"chosen":true,"insist":true,"wait":1,"run":200,"end":201,"against":["aside: failing","full"]},` +
		`{"address":"g1","target":"","age":-1,"cpu":0,"used":0,"mem-mb":0,"used-mb":0,"gpu":0,"used-gpu":0,"queued":0,"speed":0,"candidate":false,"fits":false,"chosen":false,"insist":false,"wait":0,"run":0,"end":0,"against":["silent"]}]}]}`
	if got := strings.TrimSpace(w.Body.String()); got != want || w.Code != http.StatusOK {
		t.Errorf("got %d\n%s, want\n%s", w.Code, got, want)
	}
}
