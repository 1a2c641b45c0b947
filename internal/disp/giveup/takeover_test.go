package giveup

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/gate"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/link"
)

// revokeWithin is RevokeAt at gate "g" for a job that ends after a minute.
func (f *fake) revokeWithin(t *testing.T, job string) bool {
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	return f.RevokeAt(ctx, "g", job)
}

// A task waited for ever for a gate that died after it had refused it.
func TestTakeoverOfGateThatDiesEnds(t *testing.T) {
	for name, tt := range map[string]struct {
		running     bool          // a task of another entry, while the gate answers
		diesAfter   time.Duration // negative for a gate that is long dead
		downFor     time.Duration
		linkAnswers bool
		wantTaken   bool
		least       time.Duration
		most        time.Duration
	}{
		"at once":              {downFor: time.Hour, least: gate.MaxOrphanTime, most: gate.MaxOrphanTime + revokeInterval},
		"on one connection":    {linkAnswers: true, downFor: time.Hour, least: gate.MaxOrphanTime, most: gate.MaxOrphanTime + revokeInterval},
		"while a task runs":    {running: true, diesAfter: time.Second, downFor: time.Hour, least: time.Second + gate.MaxOrphanTime, most: time.Second + gate.MaxOrphanTime + 2*revokeInterval},
		"for a moment":         {downFor: time.Second, wantTaken: true, least: time.Second, most: time.Second + revokeInterval},
		"long ago":             {diesAfter: -1, downFor: time.Hour},
		"only once it is ours": {diesAfter: time.Second, downFor: time.Hour, wantTaken: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFake("g")
				f.running = tt.running
				if tt.linkAnswers {
					f.GateView = func(string) link.View { return link.View{LastAnswer: f.Now()} }
				}
				if tt.diesAfter < 0 {
					f.gateDown = true
					f.revokeWithin(t, "i")
				}
				time.AfterFunc(tt.diesAfter, func() { f.update(func() { f.gateDown = true }) })
				time.AfterFunc(tt.diesAfter+tt.downFor, func() { f.update(func() { f.gateDown = false }) })
				synctest.Wait()
				start := time.Now()
				taken := f.revokeWithin(t, "j")
				if took := time.Since(start); taken != tt.wantTaken || took < tt.least || took > tt.most {
					t.Errorf("got %v after %v, want %v after %v", taken, took, tt.wantTaken, tt.least)
				}
			})
		})
	}
}

// A takeover that ended with its job counted the gate as silent.
func TestTakeoverThatIsCutShortShowsNoSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFake("g")
		ctx, cancel := context.WithCancel(t.Context())
		f.CallGate = func(ctx context.Context, _, _ string, _, _ any) error {
			cancel()
			return ctx.Err()
		}
		if f.RevokeAt(ctx, "g", "j") {
			t.Error("the gate counts as taken over")
		}
		if len(f.silentGates) > 0 {
			t.Errorf("got %+v", f.silentGates)
		}
	})
}
