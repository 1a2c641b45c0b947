package psim

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	readyInterval   = time.Second // between two checks whether an entry is ready, and the timeout of one
	maxMissedChecks = 2           // consecutive checks without status 200 after which an entry is out of rotation
)

// balancer simulates the platform's load balancer, which selects the entry for each new
// connection of a caller. An open connection stays with its entry. The zero value has no
// entries.
type balancer struct {
	mu      sync.Mutex
	entries []balancedEntry
}

// balancedEntry is what the balancer knows of an entry.
type balancedEntry struct {
	frontAddr  string
	readyAddr  string
	missed     int // consecutive checks without status 200
	inRotation bool
}

// add adds an entry, which is out of rotation until it is ready, and returns its index.
func (b *balancer) add(frontAddr, readyAddr string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.entries = append(b.entries, balancedEntry{frontAddr: frontAddr, readyAddr: readyAddr})
	return len(b.entries) - 1
}

// checkLoop checks once per readyInterval, until ctx ends, whether entry i is ready. The
// first check is made after the given time.
func (b *balancer) checkLoop(ctx context.Context, i int, first time.Duration) {
	client := &http.Client{Timeout: readyInterval, Transport: &http.Transport{DisableKeepAlives: true}}
	next := time.Now().Add(first)
	for ; ctx.Err() == nil; next = next.Add(readyInterval) {
		time.Sleep(time.Until(next))
		b.recordCheck(i, ready(client, b.readyAddr(i)))
	}
}

func (b *balancer) readyAddr(i int) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.entries[i].readyAddr
}

func (b *balancer) frontAddr(i int) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.entries[i].frontAddr
}

// recordCheck takes entry i out of rotation or back into it after a check.
func (b *balancer) recordCheck(i int, passed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := &b.entries[i]
	if passed {
		e.missed, e.inRotation = 0, true
		return
	}
	e.missed++
	if e.missed >= maxMissedChecks {
		e.inRotation = false
	}
}

// selectEntry returns the index and address of the entry for a new connection of a caller
// with the given hash that has tried other entries before. If fewer than half of the
// entries are in rotation, all are used.
func (b *balancer) selectEntry(hash uint32, tried []int) (int, string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var used, untried []int
	for i, e := range b.entries {
		if e.inRotation {
			used = append(used, i)
		}
	}
	if 2*len(used) < len(b.entries) {
		used = used[:0]
		for i := range b.entries {
			used = append(used, i)
		}
	}
	for _, i := range used {
		if !slices.Contains(tried, i) {
			untried = append(untried, i)
		}
	}
	if len(untried) > 0 {
		used = untried
	}
	i := used[int(hash)%len(used)]
	return i, b.entries[i].frontAddr
}

// attempt is an attempt of a caller to submit a job.
type attempt struct {
	callerHash uint32
	tried      []int        // entries that earlier attempts reached
	entry      atomic.Int32 // reached by this attempt
}

// attemptKey is the key of the *attempt in the context of a request.
type attemptKey struct{}

// entryConn is a caller's connection to an entry.
type entryConn struct {
	net.Conn
	entry int // index in balancer.entries
}

// dial connects the caller whose attempt ctx contains to an entry.
func (b *balancer) dial(ctx context.Context, network, _ string) (net.Conn, error) {
	a, _ := ctx.Value(attemptKey{}).(*attempt)
	entry, addr := b.selectEntry(a.callerHash, a.tried)
	a.entry.Store(int32(entry))
	conn, err := new(net.Dialer).DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return entryConn{conn, entry}, nil
}

// context returns the context of the attempt's request, which keeps a current as to the entry
// that the request reaches, also over a connection that was open before.
func (a *attempt) context(ctx context.Context) context.Context {
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if conn, ok := info.Conn.(entryConn); ok {
			a.entry.Store(int32(conn.entry))
		}
	}})
	return context.WithValue(ctx, attemptKey{}, a)
}

// ready reports whether the entry with that address says that it is ready.
func ready(client *http.Client, readyAddr string) bool {
	resp, err := client.Get("http://" + readyAddr + "/-/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
