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
	Whole Mode = iota
	// Silent passes nothing on, and keeps connections open.
	Silent
	// Deaf passes requests on and loses the replies.
	Deaf
	// Broken closes all connections at once and refuses to pass on new ones.
	Broken
)

// Cable relays connections to one address. Make one with Lay.
type Cable struct {
	ln net.Listener
	to string

	mu    sync.Mutex
	mode  Mode
	conns map[net.Conn]struct{}
}

// Lay listens on a free loopback port and relays to the given address.
func Lay(to string) (*Cable, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c := &Cable{ln: ln, to: to, conns: map[net.Conn]struct{}{}}
	go c.accept()
	return c, nil
}

// Addr returns the address to connect to.
func (c *Cable) Addr() string { return c.ln.Addr().String() }

// Set changes the mode. Broken also closes the connections there are.
func (c *Cable) Set(m Mode) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.mode = m
	if m == Broken {
		c.hangUp()
	}
}

// Break closes all connections once; new ones work.
func (c *Cable) Break() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hangUp()
}

// Close ends the relay.
func (c *Cable) Close() {
	_ = c.ln.Close()
	c.Break()
}

func (c *Cable) hangUp() {
	for conn := range c.conns {
		_ = conn.Close()
	}
}

func (c *Cable) accept() {
	for {
		conn, err := c.ln.Accept()
		if err != nil {
			return
		}
		go c.relay(conn)
	}
}

func (c *Cable) relay(in net.Conn) {
	defer c.drop(in)
	if c.state() == Broken {
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
func (c *Cable) copy(to, from net.Conn, reply bool) {
	buf := make([]byte, bufferSize)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		mode := c.state()
		if mode == Silent || mode == Deaf && reply {
			continue
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

func (c *Cable) state() Mode {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.mode
}

func (c *Cable) add(conns ...net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range conns {
		c.conns[conn] = struct{}{}
	}
}

func (c *Cable) drop(conn net.Conn) {
	_ = conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.conns, conn)
}
