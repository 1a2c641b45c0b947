package main

import (
	"net"
	"sync"
	"time"
)

// proxy stands before the address of an entry for calls between the machines. While it is cut, it
// drops what it gets in both directions, without a sign of it, and answers no new channel.
type proxy struct {
	target string
	ln     net.Listener

	mu    sync.Mutex
	isCut bool
	conns map[net.Conn]bool
}

func newProxy(addr, target string) (*proxy, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	p := &proxy{target: target, ln: ln, conns: map[net.Conn]bool{}}
	go p.serve()
	return p, nil
}

func (p *proxy) serve() {
	for {
		c, err := p.ln.Accept()
		if err != nil {
			return
		}
		go p.forward(c)
	}
}

func (p *proxy) forward(c net.Conn) {
	defer c.Close()
	for p.dropping() {
		time.Sleep(5 * time.Millisecond)
	}
	t, err := net.Dial("tcp", p.target)
	if err != nil {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		return
	}
	defer t.Close()
	go p.copy(t, c)
	p.copy(c, t)
}

// copy passes on what arrives. What arrives during a cut is lost, and so is the rest of the channel.
func (p *proxy) copy(to, from net.Conn) {
	b := make([]byte, 64<<10)
	lost := false
	for {
		n, err := from.Read(b)
		lost = lost || p.dropping()
		if err != nil {
			for p.dropping() {
				time.Sleep(5 * time.Millisecond)
			}
			_ = to.Close()
			return
		}
		if lost {
			continue
		}
		if _, err := to.Write(b[:n]); err != nil {
			_ = from.Close()
			return
		}
	}
}

func (p *proxy) dropping() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.isCut
}

func (p *proxy) cut(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isCut = on
}
