package target

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/core/ledger"
	"github.com/gypsumlanding/gypsumlanding/internal/core/starts"
)

func run(t *testing.T, addr string) starts.Result {
	t.Helper()
	r, err := NewRunner(context.Background(), addr, 4)
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	task := Task{ID: starts.ID{Key: "k", Task: 1}, Entry: "plan", Body: []byte("{}"), Deadline: time.Now().Add(time.Minute)}
	return r.Run(context.Background(), task)
}

func TestAnswersOfATarget(t *testing.T) {
	for _, c := range []struct {
		name    string
		handler http.HandlerFunc
		state   ledger.State
		reason  ledger.Reason
	}{
		{"answers", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "x") }, ledger.Answered, ""},
		{"fails", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusTeapot) }, ledger.Failed, TaskFailed},
		{"is overloaded", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }, ledger.Failed, TaskFailed},
		{"declines", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(StateHeader, "notrun")
			w.WriteHeader(http.StatusServiceUnavailable)
		}, ledger.NotRun, Declined},
		{"redirects", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Location", "/v1/run")
			w.WriteHeader(http.StatusTemporaryRedirect)
		}, ledger.Unknown, ledger.ConnectionBroken},
		{"hangs up", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, ledger.Unknown, ledger.ConnectionBroken},
		{"answers too much", func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, strings.Repeat("x", MaxAnswerSize+1))
		}, ledger.Failed, AnswerTooLarge},
	} {
		t.Run(c.name, func(t *testing.T) {
			var calls atomic.Int64
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				calls.Add(1)
				c.handler(w, r)
			}))
			defer srv.Close()
			res := run(t, srv.Listener.Addr().String())
			if res.State != c.state || res.Reason != c.reason {
				t.Errorf("got %s %q, want %s %q", res.State, res.Reason, c.state, c.reason)
			}
			if calls.Load() != 1 {
				t.Errorf("the target was called %d times", calls.Load())
			}
		})
	}
}

func TestTargetThatCanNotBeReachedStartsNothing(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := ln.Addr().String()
	if err := ln.Close(); err != nil {
		t.Fatal(err)
	}
	if res := run(t, addr); res.State != ledger.NotRun || res.Reason != Unreachable {
		t.Errorf("got %s %q, want notrun unreachable", res.State, res.Reason)
	}
}

func FuzzAnnounce(f *testing.F) {
	f.Add([]byte(`{"service":"s","address":"127.0.0.1:1","slots":8,"connections":64,"domain":"d"}`))
	f.Add([]byte(`{"service":"S","address":"host","slots":-1}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		if a, err := ParseAnnouncement(text); err == nil && (a.Service == "" || a.Slots < 1 || a.Connections < 1) {
			t.Errorf("an invalid announcement was taken: %+v", a)
		}
	})
}
