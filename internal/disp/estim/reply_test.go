package estim

import (
	"testing"
	"time"
)

func TestReplyTimesTimeout(t *testing.T) {
	const ms, shortest, longest = time.Millisecond, 20 * time.Millisecond, 60 * time.Millisecond
	for _, tt := range []struct {
		name    string
		replies []time.Duration
		losses  int
		want    time.Duration
	}{
		{"nothing observed", nil, 0, longest},
		{"nothing observed but losses", nil, 3, longest},
		{"quick replies", []time.Duration{ms, 2 * ms, ms}, 0, shortest},
		{"a loss doubles it", []time.Duration{ms, 2 * ms, ms}, 1, 2 * shortest},
		{"many losses", []time.Duration{ms, 2 * ms, ms}, 100, longest},
		{"one slow reply", []time.Duration{10 * ms}, 0, 30 * ms},
		{"slow replies", []time.Duration{50 * ms, 50 * ms, 50 * ms}, 0, longest},
	} {
		var r ReplyTimes
		for _, took := range tt.replies {
			r.Observe(took)
		}
		for range tt.losses {
			r.RecordLoss()
		}
		if got := r.Timeout(shortest, longest); got != tt.want {
			t.Errorf("%s: got %v, want %v", tt.name, got, tt.want)
		}
	}
}

func TestReplyEndsBackoff(t *testing.T) {
	var r ReplyTimes
	r.Observe(time.Millisecond)
	r.RecordLoss()
	r.Observe(time.Millisecond)
	if got := r.Timeout(20*time.Millisecond, time.Second); got != 20*time.Millisecond {
		t.Errorf("got %v, want the shortest again", got)
	}
}
