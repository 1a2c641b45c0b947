package guard

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"
)

// A holder that is alone gets what it needs, so that a single request is served in any budget.
func TestBudgetServesOnlyHolder(t *testing.T) {
	b := Budget{Total: 100}
	if !b.Reserve(80, 0) || !b.Reserve(80, 80) {
		t.Fatal("the only holder was refused")
	}
	if b.Reserve(1, 0) {
		t.Error("a second holder got bytes beyond the budget")
	}
	b.Release(160)
	if b.Used() != 0 || !b.Reserve(1, 0) {
		t.Errorf("%d bytes are reserved after the release", b.Used())
	}
}

// slotIn returns a slot that a table has admitted at the given time, in seconds.
func slotIn(t *testing.T, table *Table, addr string, second int64) *Slot {
	t.Helper()
	s := &Slot{Addr: netip.MustParseAddr(addr)}
	if _, _, ok := table.Admit(s, second*int64(time.Second)); !ok {
		t.Fatal("a connection within the limits was refused")
	}
	return s
}

// A connection that has been served, or that works, must not give way to one that has not.
func TestTableClosesUnservedConnectionFirst(t *testing.T) {
	table := &Table{Max: 3}
	working, served, fresh := slotIn(t, table, "10.0.0.1", 1), slotIn(t, table, "10.0.0.1", 2), slotIn(t, table, "10.0.0.1", 3)
	working.Enter(Working)
	served.Serve()
	next := &Slot{Addr: netip.MustParseAddr("10.0.0.2")}
	victim, limit, ok := table.Admit(next, 4*int64(time.Second))
	if victim != fresh || limit != CauseConnections || !ok {
		t.Fatalf("got %p, %q, %v, want %p", victim, limit, ok, fresh)
	}
	next.Enter(Working)
	if victim, _, ok := table.Admit(&Slot{}, 5*int64(time.Second)); victim != nil || ok {
		t.Error("a connection that was served a moment ago gave way")
	}
	if victim, _, ok := table.Admit(&Slot{}, 60*int64(time.Second)); victim != served || !ok {
		t.Error("an idle connection did not give way")
	}
	if table.Len() != 3 {
		t.Errorf("%d connections", table.Len())
	}
}

// A process that has stood still must not close the connections whose requests wait to be read.
func TestTablePassesOverUnreadData(t *testing.T) {
	table := &Table{Max: 2}
	waiting, silent := slotIn(t, table, "10.0.0.1", 1), slotIn(t, table, "10.0.0.1", 2)
	table.Unread = func(s *Slot) bool { return s == waiting }
	if victim, _, _ := table.Admit(&Slot{}, 3*int64(time.Second)); victim != silent {
		t.Error("the connection with unread data gave way")
	}
	table.Unread = func(*Slot) bool { return true }
	if victim, _, ok := table.Admit(&Slot{}, 4*int64(time.Second)); victim == nil || !ok {
		t.Error("none gave way, as all have unread data")
	}
}

// The limit for an address must not be reached by the connections of another one.
func TestTableLimitsEachAddress(t *testing.T) {
	table := &Table{Max: 10, MaxPerAddr: 1}
	slotIn(t, table, "10.0.0.1", 1).Enter(Working)
	if _, limit, ok := table.Admit(&Slot{Addr: netip.MustParseAddr("10.0.0.1")}, 0); ok || limit != CauseAddress {
		t.Errorf("got %v, %q", ok, limit)
	}
	other := slotIn(t, table, "10.0.0.2", 1)
	table.Remove(other)
	table.Remove(other)
	slotIn(t, table, "10.0.0.2", 1)
}

// Bodies of a fast client must not give way, whatever they hold.
func TestTableFindsSlowestBody(t *testing.T) {
	table := &Table{}
	fast, slow := slotIn(t, table, "10.0.0.1", 1), slotIn(t, table, "10.0.0.1", 1)
	for _, s := range []*Slot{fast, slow} {
		s.Enter(Body)
		s.reserved.Store(1)
	}
	fast.bodyRead.Store(10 << 20)
	slow.bodyRead.Store(100)
	if got := table.SlowestBody(int64(time.Second)); got != slow {
		t.Errorf("got %p, want %p", got, slow)
	}
	slow.Enter(Working)
	if got := table.SlowestBody(int64(time.Second)); got != nil {
		t.Errorf("got %p for a request in work", got)
	}
}

// A line for each occurrence would fill the log, and none would hide the cause.
func TestReporterLogsOncePerSecond(t *testing.T) {
	now, counted, lines := time.Unix(100, 0), 0, []string(nil)
	r := &Reporter{
		Count: func(string) { counted++ }, Now: func() time.Time { return now },
		Event: func(_ string, pairs ...any) { lines = append(lines, fmt.Sprint(pairs...)) },
	}
	for i := range 30 {
		now = time.Unix(100, int64(i)*int64(100*time.Millisecond))
		r.Report(CauseBody)
	}
	if counted != 30 || len(lines) != 3 {
		t.Errorf("%d counted, lines %q", counted, lines)
	}
}

// serveGuarded serves a handler behind g and returns its address.
func serveGuarded(t testing.TB, g *Guard, h http.HandlerFunc) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := &http.Server{Handler: g.Handler(h), ConnContext: WithConn, ConnState: ConnState, ReadTimeout: time.Minute}
	go func() { _ = srv.Serve(g.Listener(ln)) }()
	t.Cleanup(func() { _ = srv.Close() })
	return ln.Addr().String()
}

// readBody answers with the length of the body, or with 503 if it exceeds the budget.
func readBody(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if errors.Is(err, ErrBusy) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	_, _ = fmt.Fprint(w, len(body))
}

// post sends a body of n bytes and returns the answer.
func post(t *testing.T, addr string, n int) string {
	t.Helper()
	resp, err := http.Post("http://"+addr, "text/plain", strings.NewReader(strings.Repeat("x", n)))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	text, _ := io.ReadAll(resp.Body)
	return fmt.Sprint(resp.StatusCode, " ", string(text))
}

// The memory of bodies in flight is bounded, a body that needs no reservation is served all the
// same, and what a request had reserved is free once it is answered.
func TestBodiesBeyondBudgetAreRefused(t *testing.T) {
	g := &Guard{Bodies: &Budget{Total: 1 << 20}}
	addr := serveGuarded(t, g, readBody)
	if got := post(t, addr, 1<<20); got != "200 1048576" {
		t.Errorf("alone: %s", got)
	}
	if !g.Bodies.Reserve(1<<20, 0) {
		t.Fatal("a request has kept its bytes")
	}
	if got := post(t, addr, 64<<10); got != "503 " {
		t.Errorf("beyond the budget: %s", got)
	}
	if got := post(t, addr, 4<<10); got != "200 4096" {
		t.Errorf("small: %s", got)
	}
}

// A client that stops within its body holds bytes that others need.
func TestStoppedBodyGivesWay(t *testing.T) {
	g := &Guard{Bodies: &Budget{Total: 512 << 10}}
	addr := serveGuarded(t, g, readBody)
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if _, err := fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 131072\r\n\r\n%s", strings.Repeat("x", 131000)); err != nil {
		t.Fatal(err)
	}
	for g.Bodies.Used() < 400<<10 {
		time.Sleep(time.Millisecond)
	}
	// No clock of the guard can be set, so the rate falls below the lowest permitted one in real time.
	time.Sleep(minBodyTime)
	for got := ""; got != "200 131072"; got = post(t, addr, 128<<10) {
		time.Sleep(10 * time.Millisecond)
	}
	if _, err := bufio.NewReader(conn).ReadByte(); err == nil {
		t.Error("the connection that stopped was answered")
	}
}

// No deadline of reading may end the wait for an answer.
func TestReadDeadlineEndsWithTheBody(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g := &Guard{}
	srv := &http.Server{ConnContext: WithConn, ConnState: ConnState, ReadTimeout: 100 * time.Millisecond}
	srv.Handler = g.Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body)
		select {
		case <-r.Context().Done():
			w.WriteHeader(http.StatusTeapot)
		case <-time.After(500 * time.Millisecond):
		}
	}))
	go func() { _ = srv.Serve(g.Listener(ln)) }()
	t.Cleanup(func() { _ = srv.Close() })
	for _, size := range []int{0, 10, 100_000} {
		if got := post(t, ln.Addr().String(), size); got != "200 " {
			t.Errorf("%d bytes: %s", size, got)
		}
	}
}

// The smallest entry serves hundreds of callers' connections, and the limits of all its ports and
// what it opens itself fit its descriptors.
func TestSizesFitTheSmallestEntry(t *testing.T) {
	s := SizesFor(144, 3075)
	want := Sizes{ClientConns: 1008, PeerConns: 359, AuxConns: 89, Calls: 4608, Bytes: 18 << 20}
	if s != want {
		t.Errorf("got %+v, want %+v", s, want)
	}
	for fds := 64; fds < 10_000; fds += 7 {
		s := SizesFor(1<<20, fds)
		if sum := s.ClientConns + s.PeerConns + 2*s.AuxConns; fds >= 400 && sum > fds*9/10 {
			t.Errorf("%d of %d descriptors: %+v", sum, fds, s)
		}
	}
	if s := SizesFor(0, 0); s != (Sizes{}) {
		t.Errorf("unknown: %+v", s)
	}
}
