package netem

import (
	"net"
	"sync"
)

const bufferSize = 32 << 10 // bytes

// Mode is what a Proxy does with connections and the data that they carry.
type Mode int

const (
	// Forward forwards all data.
	Forward Mode = iota
	// Blackhole discards all data and keeps connections open.
	Blackhole
	// DropReplies forwards data from the client and discards data from the server.
	DropReplies
	// Refuse closes all connections, and closes new ones as soon as they are
	// accepted.
	Refuse
)

// Proxy forwards TCP connections to one address. Make one with NewProxy. It is
// safe for concurrent use.
type Proxy struct {
	ln       net.Listener
	upstream string // address that connections are forwarded to

	mu    sync.Mutex
	mode  Mode
	conns map[net.Conn]struct{} // open connections of both sides
}

// NewProxy returns a proxy that listens on a free loopback port and forwards to
// the upstream address.
func NewProxy(upstream string) (*Proxy, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{ln: ln, upstream: upstream, conns: map[net.Conn]struct{}{}}
	go p.accept()
	return p, nil
}

// Addr returns the address that the proxy listens on.
func (p *Proxy) Addr() string { return p.ln.Addr().String() }

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

// Close stops listening and closes the open connections.
func (p *Proxy) Close() {
	_ = p.ln.Close()
	p.CloseConnections()
}

// closeAll closes the open connections. The caller holds mu.
func (p *Proxy) closeAll() {
	for conn := range p.conns {
		_ = conn.Close()
	}
}

func (p *Proxy) accept() {
	for {
		conn, err := p.ln.Accept()
		if err != nil {
			return
		}
		go p.serve(conn)
	}
}

// serve connects a client to the upstream address and copies data both ways until
// either side ends.
func (p *Proxy) serve(client net.Conn) {
	defer p.closeConn(client)
	if p.currentMode() == Refuse {
		return
	}
	server, err := net.Dial("tcp", p.upstream)
	if err != nil {
		return
	}
	defer p.closeConn(server)
	p.addConns(client, server)
	done := make(chan struct{}, 2)
	go func() { p.copy(server, client, false); done <- struct{}{} }()
	go func() { p.copy(client, server, true); done <- struct{}{} }()
	<-done
}

// copy forwards data from src to dst as the current mode allows, until a read or
// write fails. The flag isReply marks data from the server.
func (p *Proxy) copy(dst, src net.Conn, isReply bool) {
	buf := make([]byte, bufferSize)
	for {
		n, err := src.Read(buf)
		if err != nil {
			return
		}
		mode := p.currentMode()
		if mode == Blackhole || mode == DropReplies && isReply {
			continue
		}
		if _, err := dst.Write(buf[:n]); err != nil {
			return
		}
	}
}

func (p *Proxy) currentMode() Mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

func (p *Proxy) addConns(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range conns {
		p.conns[conn] = struct{}{}
	}
}

// closeConn closes a connection and removes it from conns.
func (p *Proxy) closeConn(conn net.Conn) {
	_ = conn.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, conn)
}
