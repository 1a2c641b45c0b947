package client_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gypsumlanding/gypsumlanding/pkg/client"
)

// newEntry starts a fake entry and returns it with the number of job requests that it has
// received. It breaks the connection instead of answering the first lostReplies of them.
func newEntry(lostReplies int64) (*httptest.Server, *atomic.Int64) {
	var calls atomic.Int64
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Gyp-Epoch", "7")
		w.Header().Set("Gyp-Time", fmt.Sprint(time.Now().UnixMilli()))
		if r.URL.Path == "/v1/epoch" {
			_, _ = fmt.Fprint(w, `{"region":"steiermark"}`)
			return
		}
		if calls.Add(1) <= lostReplies {
			panic(http.ErrAbortHandler)
		}
		var job struct{ Key, Entry string }
		_ = json.NewDecoder(r.Body).Decode(&job)
		switch job.Entry {
		case "plan":
			_, _ = fmt.Fprintf(w, `{"key":%q,"state":"answered","answers":["fits"]}`, job.Key)
		case "down":
			w.WriteHeader(http.StatusGatewayTimeout)
			_, _ = fmt.Fprintf(w, `{"key":%q,"state":"unknown","reason":"deadline"}`, job.Key)
		default:
			w.WriteHeader(http.StatusNotFound)
			_, _ = fmt.Fprint(w, `{"field":"entry","error":"no such entry"}`)
		}
	}))
	return srv, &calls
}

func ExampleClient_Do() {
	srv, _ := newEntry(0)
	defer srv.Close()
	c := &client.Client{Entries: []string{srv.URL}}
	out, err := c.Do(context.Background(), client.Job{
		Entry: "plan",
		Tasks: []json.RawMessage{json.RawMessage(`{"foot":"left"}`)},
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println(out.State, string(out.Answers[0]))
	// Output: answered "fits"
}

func TestLostReplyIsResubmittedUnderTheSameKey(t *testing.T) {
	srv, calls := newEntry(2)
	defer srv.Close()
	c := &client.Client{Entries: []string{srv.URL}}
	key, err := c.Key(context.Background(), time.Second)
	if err != nil {
		t.Fatal(err)
	}
	if key.Epoch() != 7 || key.Region() != "steiermark" {
		t.Errorf("got key %s, want epoch 7 and region steiermark", key)
	}
	out, err := c.Submit(context.Background(), key, client.Job{Entry: "plan", Tasks: []json.RawMessage{[]byte("1")}})
	if err != nil || out.State != client.Answered || out.Key != key.String() || calls.Load() != 3 {
		t.Errorf("got %+v, %v after %d calls", out, err, calls.Load())
	}
}

func TestUnknownAndInvalidAreNotRetried(t *testing.T) {
	srv, calls := newEntry(0)
	defer srv.Close()
	c := &client.Client{Entries: []string{srv.URL}}
	job := client.Job{Entry: "down", Timeout: time.Second, Tasks: []json.RawMessage{[]byte("1")}}
	if out, err := c.Do(context.Background(), job); err != nil || out.State != client.Unknown || calls.Load() != 1 {
		t.Errorf("got %+v, %v after %d calls", out, err, calls.Load())
	}
	job.Entry = "none"
	if _, err := c.Do(context.Background(), job); !errors.Is(err, client.ErrInvalid) || calls.Load() != 2 {
		t.Errorf("got error %v after %d calls, want ErrInvalid after 2", err, calls.Load())
	}
}

func TestDoFailsIfNoEntryAnswers(t *testing.T) {
	srv, _ := newEntry(0)
	srv.Close()
	c := &client.Client{Entries: []string{srv.URL}}
	if _, err := c.Do(context.Background(), client.Job{Entry: "plan"}); !errors.Is(err, client.ErrNoEntry) {
		t.Errorf("got error %v, want ErrNoEntry", err)
	}
}
