package netem

import (
	"net"
	"sync"
)

const bufferSize = 32 << 10 // bytes

// Mode tells what a cable does with what passes.
type Mode int

const (
	// Whole passes everything on.
	Forward Mode = iota
	// Silent passes nothing on, and keeps connections open.
	Blackhole
	// Deaf passes requests on and loses the replies.
	DropReplies
	// Broken closes all connections at once and refuses to pass on new ones.
	Refuse
)

// Cable relays connections to one address. Make one with Lay.
type Proxy struct {
	ln net.Listener
	to string

	mu    sync.Mutex
	mode  Mode
	conns map[net.Conn]struct{}
}

// Lay listens on a free loopback port and relays to the given address.
func NewProxy(to string) (*Proxy, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c := &Proxy{ln: ln, to: to, conns: map[net.Conn]struct{}{}}
	go c.accept()
	return c, nil
}

// Addr returns the address to connect to.
func (c *Proxy) Addr() string { return c.ln.Addr().String() }

// Set changes the mode. Broken also closes the connections there are.
func (c *Proxy) SetMode(m Mode) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.mode = m
	if m == Refuse {
		c.hangUp()
	}
}

// Break closes all connections once; new ones work.
func (c *Proxy) CloseConnections() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hangUp()
}

// Close ends the relay.
func (c *Proxy) Close() {
	_ = c.ln.Close()
	c.CloseConnections()
}

func (c *Proxy) hangUp() {
	for conn := range c.conns {
		_ = conn.Close()
	}
}

func (c *Proxy) accept() {
	for {
		conn, err := c.ln.Accept()
		if err != nil {
			return
		}
		go c.relay(conn)
	}
}

func (c *Proxy) relay(in net.Conn) {
	defer c.drop(in)
	if c.state() == Refuse {
		return
	}
	out, err := net.Dial("tcp", c.to)
	if err != nil {
		return
	}
	defer c.drop(out)
	c.add(in, out)
	done := make(chan struct{}, 2)
	go func() { c.copy(out, in, false); done <- struct{}{} }()
	go func() { c.copy(in, out, true); done <- struct{}{} }()
	<-done
}

// copy passes on what arrives as the mode in force allows.
func (c *Proxy) copy(to, from net.Conn, reply bool) {
	buf := make([]byte, bufferSize)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		mode := c.state()
		if mode == Blackhole || mode == DropReplies && reply {
			continue
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

func (c *Proxy) state() Mode {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.mode
}

func (c *Proxy) add(conns ...net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range conns {
		c.conns[conn] = struct{}{}
	}
}

func (c *Proxy) drop(conn net.Conn) {
	_ = conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.conns, conn)
}
