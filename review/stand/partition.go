package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { scenarios["partition"] = partitionedEntry }

const (
	cutTime = 5500 * time.Millisecond // longest cut of the site file's troubles
	// platformKeepAlive is after how long the platform's forwarder gives up a channel to a
	// machine that does not respond.
	platformKeepAlive = 600 * time.Millisecond
)

// path is a way between the platform and a machine: it forwards channels, and loses all
// bytes while it is cut.
type path struct {
	ln    net.Listener
	to    string
	mu    sync.Mutex
	cut   bool
	pairs [][2]*net.TCPConn // the side that has opened the channel, the other one
}

func newPath(at, to string) (*path, error) {
	ln, err := net.Listen("tcp", at)
	if err != nil {
		return nil, err
	}
	p := &path{ln: ln, to: to}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go p.forward(c.(*net.TCPConn))
		}
	}()
	return p, nil
}

func (p *path) isCut() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cut
}

func (p *path) forward(c *net.TCPConn) {
	if p.isCut() {
		return // the opening packet is lost, the channel hangs
	}
	d, err := net.Dial("tcp", p.to)
	if err != nil {
		_ = c.Close()
		return
	}
	s := d.(*net.TCPConn)
	p.mu.Lock()
	p.pairs = append(p.pairs, [2]*net.TCPConn{c, s})
	p.mu.Unlock()
	go p.pump(c, s)
	p.pump(s, c)
}

// pump copies from one side to the other until the first ends.
func (p *path) pump(to, from *net.TCPConn) {
	b := make([]byte, 32<<10)
	for {
		n, err := from.Read(b)
		if p.isCut() {
			if err != nil {
				return // the other side doesn't learn of it
			}
			continue
		}
		if n > 0 {
			_, _ = to.Write(b[:n])
		}
		if err != nil {
			if err == io.EOF {
				_ = to.CloseWrite()
			}
			_ = to.Close()
			return
		}
	}
}

func (p *path) setCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = cut
}

// resetOpeners resets all channels for those who have opened them.
func (p *path) resetOpeners() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, x := range p.pairs {
		_ = x[0].SetLinger(0)
		_ = x[0].Close()
	}
}

// partitionedEntry partitions an entry from the platform, that is from the address that
// forwards to it and from the store, while a client's job runs. The nodes still reach it.
func partitionedEntry(c *cluster, trouble bool) ([]string, error) {
	store, err := newPath(fmt.Sprintf("%s:0", c.ip(3)), c.storeAddr())
	if err != nil {
		return nil, err
	}
	c.storeOf["e1"] = store.ln.Addr().String()
	for i := 1; i <= 3; i++ {
		if err := c.addEntry(i); err != nil {
			return nil, err
		}
	}
	for i := 1; i <= 3; i++ {
		if err := c.addNode(i); err != nil {
			return nil, err
		}
		if err := c.worker(i).start(workerSpec{id: fmt.Sprintf("i-%d", i), labels: []string{"a", "r1-1"}, cpu: workerCPU, memMB: workerMemory}); err != nil {
			return nil, err
		}
	}
	if err := c.awaitReady(3); err != nil {
		return nil, err
	}
	time.Sleep(contactTime + time.Second)
	front, err := newPath(fmt.Sprintf("%s:0", c.ip(2)), c.front(1))
	if err != nil {
		return nil, err
	}
	k := newClient(c)
	k.via = map[int]string{1: front.ln.Addr().String()}
	// As the longer ones of stretchplan: tasks of 3 s, of 3.6 s at most.
	j := newJob(3000, step{Count: 4, CPU: 3100, Memory: 64, MS: 3000})
	if trouble {
		time.AfterFunc(400*time.Millisecond, func() {
			c.rec.note("trouble", "e1 is partitioned from the platform")
			front.setCut(true)
			store.setCut(true)
			time.Sleep(platformKeepAlive)
			c.rec.note("trouble", "the platform resets the channels that hang")
			front.resetOpeners()
			time.Sleep(cutTime - platformKeepAlive)
			front.setCut(false)
			store.setCut(false)
			c.rec.note("trouble", "the partition has healed")
		})
	}
	status, text := k.submit(j, 1, 3, 12*time.Second)
	if status != http.StatusOK {
		return nil, fmt.Errorf("the job was answered with %d %s", status, text)
	}
	time.Sleep(3 * time.Second)
	return judgeTwice(c.rec.events(), time.Since(c.rec.begin)), nil
}
