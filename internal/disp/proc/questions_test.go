package proc

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/memb"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/rotate"
)

// countedConn is a connection that counts what is sent, a call at least each time.
type countedConn struct {
	net.Conn
	sent *atomic.Int64
}

// Write counts the data.
func (c countedConn) Write(p []byte) (int, error) {
	c.sent.Add(1)
	return c.Conn.Write(p)
}

// After a loss of all entries the smallest ones were asked about every job of the fleet, which kept
// them too busy for the load balancer's checks, so that they were asked on.
func TestEntryOutOfRotationIsNotAskedAboutEachJob(t *testing.T) {
	const jobs, most = 200, 5
	out := newPeer()
	out.Rotation = rotate.Monitor{ResubmitDelay: resubmitDelay}
	out.Rotation.Begin()
	out.Rotation.Now = minuteLater // so that its check is overdue
	out.Addr = serve(t, map[string]any{EntryServiceName: out.Service()})
	sent := &atomic.Int64{}
	asks := newPeer()
	asks.Addr = serve(t, map[string]any{EntryServiceName: asks.Service()})
	asks.pool.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
		conn, err := new(net.Dialer).DialContext(ctx, "tcp", addr)
		return countedConn{conn, sent}, err
	}
	asks.AddMember(memb.Member{Role: memb.Entry, Addr: out.Addr})
	asks.gossipWith(context.Background(), out.Addr)
	if !asks.OthersOut() {
		t.Fatal("the entry is not out of rotation")
	}
	before := sent.Load()
	var asked sync.WaitGroup
	for i := range jobs {
		asked.Go(func() { asks.GiveUpElsewhere(context.Background(), fmt.Sprint("j", i), false) })
	}
	asked.Wait()
	if n := sent.Load() - before; n > most {
		t.Errorf("%d questions about %d jobs, want at most %d", n, jobs, most)
	}
}
