package gate

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
)

// contradictions counts the results that a target contradicts.
type contradictions struct{ n atomic.Int64 }

// count is a Gate.Count.
func (c *contradictions) count(name string) {
	if name == Contradicted {
		c.n.Add(1)
	}
}

// A target that goes on with a run that its gate has given up is reported.
func TestGateReportsContradictedResult(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		f := newFakeTarget(1000)
		f.stallRuns, f.keepLapsed = true, true
		var seen contradictions
		g := &Gate{IncarnationID: 7, Start: f.Start, Stop: f.Stop, Poll: f.Poll, Count: seen.count}
		started := time.Now()
		g.Now = func() boot.Time { return boot.Time(time.Hour).Add(time.Since(started)) }
		g.HandleHeartbeat(f.incarnation)
		go g.Run(ctx)
		time.Sleep(100 * time.Millisecond)
		o := &openGate{Gate: g, t: t, target: f}
		m := o.task("a", 10)
		m.EchoedTimestamp = int64(g.now())
		go o.take(m)
		time.Sleep(100 * time.Millisecond)
		f.update(func(f *fakeTarget) { f.unresponsive = true })
		time.Sleep(2 * time.Second)
		if got := seen.n.Load(); got != 0 {
			t.Errorf("%d contradictions while the target is silent", got)
		}
		f.update(func(f *fakeTarget) { f.unresponsive = false })
		time.Sleep(time.Second)
		if got := seen.n.Load(); got == 0 {
			t.Error("the run that goes on is not reported")
		}
	})
}
