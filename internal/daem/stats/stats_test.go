package stats

import (
	"net/http/httptest"
	"testing"
	"time"
)

func TestTextListsCountersAndHistograms(t *testing.T) {
	var s Set
	s.Declare([]string{"refused.full"})
	s.CountRefusal("overload")
	s.Gauge("jobs.running", func() int64 { return 3 })
	for ms := range 100 {
		s.Observe("job.ms", time.Duration(ms+1)*time.Millisecond)
	}
	w := httptest.NewRecorder()
	s.TextHandler().ServeHTTP(w, nil)
	want := "job.ms.count 100\njob.ms.p50 50\njob.ms.p90 91\njob.ms.p99 100\njob.ms.max 100\n" +
		"jobs.running 3\nrefused.full 0\nrefused.overload 1\n"
	if got := w.Body.String(); got != want {
		t.Errorf("got\n%s\nwant\n%s", got, want)
	}
}
