package web

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/gypsumlanding/gypsumlanding/internal/core/catlg"
	"github.com/gypsumlanding/gypsumlanding/internal/core/clock"
	"github.com/gypsumlanding/gypsumlanding/internal/daem/stats"
	"github.com/gypsumlanding/gypsumlanding/internal/entry/relay"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/peer"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/view"
)

// newJobs serves callers with a catalogue and without any node.
func newJobs(entries ...catlg.Entry) *khttp.Server {
	clk := &clock.Clock{}
	v := &view.View{Clock: clk}
	if len(entries) > 0 {
		v.UpdateCatalogue(1, entries)
	}
	counters := &stats.Set{}
	j := &JobAPI{
		Region: "st", Clock: clk, View: v, Stats: counters,
		Relay: &relay.Relay{Region: "st", Clock: clk, View: v, Pool: &peer.Pool{}, Stats: counters},
	}
	srv := khttp.NewServer()
	j.Serve(srv)
	return srv
}

var plan = catlg.Entry{
	Name: "plan", Owner: "o", Class: catlg.Urgent, Service: "s", Version: 1,
	Limits: catlg.Limits{Tasks: 2, Timeout: 100_000_000},
}

func post(srv http.Handler, body string) (int, map[string]any) {
	w := httptest.NewRecorder()
	srv.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/v1/jobs", strings.NewReader(body)))
	var doc map[string]any
	_ = json.Unmarshal(w.Body.Bytes(), &doc)
	return w.Code, doc
}

func TestBadJobsAreRefusedWithTheField(t *testing.T) {
	srv := newJobs(plan)
	for _, c := range []struct {
		body   string
		status int
		field  string
	}{
		{`{`, http.StatusBadRequest, "body"},
		{`{"entry":"plan","tasks":[1],"colour":1}`, http.StatusBadRequest, "body"},
		{`{"entry":1}`, http.StatusBadRequest, "entry"},
		{`{"entry":"Plan","tasks":[1]}`, http.StatusBadRequest, "entry"},
		{`{"entry":"none","tasks":[1]}`, http.StatusNotFound, "entry"},
		{`{"entry":"plan","tasks":[]}`, http.StatusBadRequest, "tasks"},
		{`{"entry":"plan","tasks":[1,2,3]}`, http.StatusBadRequest, "tasks"},
		{`{"entry":"plan","tasks":[1],"timeout":5}`, http.StatusBadRequest, "timeout"},
		{`{"entry":"plan","tasks":[1],"timeout":101}`, http.StatusBadRequest, "timeout"},
		{`{"entry":"plan","tasks":[1],"timeout":-1}`, http.StatusBadRequest, "timeout"},
		{`{"entry":"plan","tasks":[1],"key":"no key"}`, http.StatusBadRequest, "key"},
		{`{"entry":"plan","tasks":[1],"key":"g1.st.1"}`, http.StatusBadRequest, "key"},
		{`{"entry":"plan","tasks":[1],"key":"g1.st.1.zzzzzzzzzz.x"}`, http.StatusBadRequest, "key"},
		{`{"entry":"plan","tasks":["` + strings.Repeat("x", MaxBodySize) + `"]}`, http.StatusRequestEntityTooLarge, "body"},
	} {
		status, doc := post(srv, c.body)
		if status != c.status || doc["field"] != c.field {
			t.Errorf("%.60s: got status %d, field %v; want %d, %s", c.body, status, doc["field"], c.status, c.field)
		}
	}
}

func TestOnlyAKeyOfTheEntrysOwnIsKnownNotToHaveRun(t *testing.T) {
	for _, entries := range [][]catlg.Entry{{}, {plan}} {
		srv := newJobs(entries...)
		if _, doc := post(srv, `{"entry":"plan","tasks":[1],"timeout":50}`); doc["state"] != "notrun" {
			t.Errorf("fresh key: got %v, want notrun", doc)
		}
		if _, doc := post(srv, `{"entry":"plan","tasks":[1],"timeout":50,"key":"order-1"}`); doc["state"] != "unknown" {
			t.Errorf("caller's key: got %v, want unknown", doc)
		}
		if _, doc := post(srv, `{"entry":"plan","tasks":[1],"timeout":50,"key":"g1.other.1.lf0xk3m2.x"}`); doc["state"] != "unknown" {
			t.Errorf("key of another region: got %v, want unknown", doc)
		}
	}
}

func FuzzJob(f *testing.F) {
	f.Add([]byte(`{"entry":"plan","tasks":[1],"timeout":50}`))
	f.Add([]byte(`{"entry":"plan","tasks":[{}],"key":"g1.st.1.lf0xk3m2.x"}`))
	srv := newJobs(plan)
	f.Fuzz(func(t *testing.T, body []byte) {
		w := httptest.NewRecorder()
		req := httptest.NewRequest(http.MethodPost, "/v1/jobs", bytes.NewReader(body))
		srv.ServeHTTP(w, req)
		if w.Code == http.StatusOK || w.Code == http.StatusInternalServerError {
			t.Errorf("got status %d", w.Code)
		}
	})
}
