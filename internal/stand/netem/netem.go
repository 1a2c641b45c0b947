package netem

import (
	"cmp"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	bufferSize   = 32 << 10             // bytes
	pollInterval = 2 * time.Millisecond // at which a held connection looks at the mode
)

// Mode is what a Proxy does with connections and the data that they carry.
type Mode int

const (
	// Forward forwards all data.
	Forward Mode = iota
	// Blackhole discards all data and keeps connections open.
	Blackhole
	// DropReplies forwards data from the client and discards data from the server.
	DropReplies
	// Hold holds all data back, and delivers it when the mode changes.
	Hold
	// Refuse closes all connections, and closes new ones as soon as they are
	// accepted.
	Refuse
)

// Proxy forwards TCP connections to one address. Make one with NewProxy or NewStrictProxy. It is
// safe for concurrent use.
//
// A strict proxy does what TCP and a network may do. It delivers no data after data that was
// discarded: that direction of the connection stays silent. That one side has closed a
// connection is not seen by the other side until the mode lets data through. Any other proxy
// goes on with the data that follows, and closes both sides at once.
type Proxy struct {
	strict   bool
	addr     string // that the proxy listens on
	upstream string // address that connections are forwarded to

	mu     sync.Mutex
	ln     net.Listener // nil while the proxy does not listen
	mode   Mode
	closed bool
	pairs  map[*pair]struct{} // open connections
}

// pair is a connection of a client, and that to the upstream address which continues it.
type pair struct {
	client, server net.Conn
	silent         atomic.Bool // carries nothing any more
}

func (c *pair) close() {
	_ = c.client.Close()
	_ = c.server.Close()
}

// anyPort is the address of a free loopback port.
const anyPort = "127.0.0.1:0"

// NewProxy returns a proxy that listens on a free loopback port and forwards to
// the upstream address.
func NewProxy(upstream string) (*Proxy, error) {
	return newProxy(&Proxy{addr: anyPort, upstream: upstream})
}

// NewStrictProxy returns a strict proxy that listens on addr, or on a free loopback port if addr
// is empty, and forwards to the upstream address.
func NewStrictProxy(addr, upstream string) (*Proxy, error) {
	return newProxy(&Proxy{strict: true, addr: cmp.Or(addr, anyPort), upstream: upstream})
}

func newProxy(p *Proxy) (*Proxy, error) {
	p.pairs = map[*pair]struct{}{}
	if err := p.Listen(); err != nil {
		return nil, err
	}
	p.addr = p.ln.Addr().String()
	return p, nil
}

// Addr returns the address that the proxy listens on.
func (p *Proxy) Addr() string { return p.addr }

// SetMode changes the mode. Refuse also closes the open connections.
func (p *Proxy) SetMode(m Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	if m == Refuse {
		p.closeAll()
	}
}

// CloseConnections closes the open connections. It does not change the mode, so
// new connections are treated as before.
func (p *Proxy) CloseConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeAll()
}

// CloseClients closes the clients' sides of the open connections. The server's sides are closed
// too, in a strict proxy when the mode lets data through.
func (p *Proxy) CloseClients() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.pairs {
		_ = c.client.Close()
	}
}

// SilenceConnections makes the open connections carry nothing for good, while new ones work.
// Neither side learns that the other one closes its connection.
func (p *Proxy) SilenceConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.pairs {
		c.silent.Store(true)
	}
}

// Listen accepts connections again after StopListening.
func (p *Proxy) Listen() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ln != nil || p.closed {
		return nil
	}
	ln, err := net.Listen("tcp", p.addr)
	if err != nil {
		return err
	}
	p.ln = ln
	go p.accept(ln)
	return nil
}

// StopListening makes new connections be refused, as when no process listens. Open
// connections stay.
func (p *Proxy) StopListening() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ln != nil {
		_ = p.ln.Close()
		p.ln = nil
	}
}

// Close stops listening and closes the open connections.
func (p *Proxy) Close() {
	p.StopListening()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.closeAll()
}

// closeAll closes the open connections. The caller holds mu.
func (p *Proxy) closeAll() {
	for c := range p.pairs {
		c.close()
	}
}

func (p *Proxy) accept(ln net.Listener) {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		go p.serve(conn)
	}
}

// serve connects a client to the upstream address and copies data both ways until both sides
// have ended, or one has and the other has been told so.
func (p *Proxy) serve(client net.Conn) {
	if mode, _ := p.state(); mode == Refuse {
		_ = client.Close()
		return
	}
	server, err := net.Dial("tcp", p.upstream)
	if err != nil {
		_ = client.Close()
		return
	}
	c := &pair{client: client, server: server}
	p.add(c)
	defer p.remove(c)
	var directions sync.WaitGroup
	directions.Go(func() { p.copy(c, server, client, false) })
	directions.Go(func() { p.copy(c, client, server, true) })
	directions.Wait()
}

// copy forwards data from src to dst as the current mode allows, until src has ended, and then
// closes dst unless the connection is silent. The flag isReply marks data from the server.
func (p *Proxy) copy(c *pair, dst, src net.Conn, isReply bool) {
	buf := make([]byte, bufferSize)
	lost := false
	for {
		n, err := src.Read(buf)
		if err != nil {
			break
		}
		p.awaitRelease()
		discarded := c.silent.Load() || p.discards(isReply)
		lost = lost || p.strict && discarded
		if lost || discarded {
			continue
		}
		if _, err := dst.Write(buf[:n]); err != nil {
			lost = true // the other direction sees that dst has ended
		}
	}
	p.awaitCloseSeen(c, isReply)
	if !c.silent.Load() {
		_ = dst.Close()
	}
}

// awaitCloseSeen waits until the receiver of a direction may learn that its sender has closed
// the connection.
func (p *Proxy) awaitCloseSeen(c *pair, isReply bool) {
	for p.strict && p.discards(isReply) && !c.silent.Load() {
		time.Sleep(pollInterval)
	}
	p.awaitRelease()
}

// awaitRelease waits until the mode is not Hold.
func (p *Proxy) awaitRelease() {
	for {
		if mode, closed := p.state(); mode != Hold || closed {
			return
		}
		time.Sleep(pollInterval)
	}
}

// discards reports whether the mode discards the data of a direction.
func (p *Proxy) discards(isReply bool) bool {
	mode, closed := p.state()
	return !closed && (mode == Blackhole || mode == DropReplies && isReply)
}

// state returns the mode, and whether the proxy is closed.
func (p *Proxy) state() (Mode, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode, p.closed
}

// add records an open connection, or closes it if it may not be open any more.
func (p *Proxy) add(c *pair) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pairs[c] = struct{}{}
	if p.closed || p.mode == Refuse {
		c.close()
	}
}

// remove closes a connection whose directions have ended.
func (p *Proxy) remove(c *pair) {
	c.close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.pairs, c)
}
