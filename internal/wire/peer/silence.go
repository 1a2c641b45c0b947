package peer

import (
	"sync/atomic"
	"syscall"
	"time"
)

// processStart is the time from which times of reads are counted.
var processStart = time.Now()

// Silent reports whether the connection to addr has carried nothing for the given time: nothing was
// read from it, and nothing waits to be read, as in a process that is short of processor time. Then a
// new connection may work where this one does not. It also reports true if there is none.
func (p *Pool) Silent(addr string, d time.Duration) bool {
	c := p.connection(addr)
	if time.Since(processStart)-time.Duration(c.lastRead.Load()) < d {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.client == nil || !c.conn.hasUnread()
}

// DropSilent is Drop for a connection that is Silent.
func (p *Pool) DropSilent(addr string, d time.Duration) {
	if p.Silent(addr, d) {
		p.Drop(addr)
	}
}

// clientConn is a monitoredConn that notes when data was last read.
type clientConn struct {
	monitoredConn
	lastRead *atomic.Int64 // of its connection
}

// Read reads into b and notes the time.
func (c clientConn) Read(b []byte) (int, error) {
	n, err := c.monitoredConn.Read(b)
	if n > 0 {
		c.lastRead.Store(int64(time.Since(processStart)))
	}
	return n, err
}

// hasUnread reports whether data waits to be read. It reports false if that can't be seen.
func (c clientConn) hasUnread() (unread bool) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	err = raw.Control(func(fd uintptr) {
		n, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		unread = n > 0 && err == nil
	})
	return unread && err == nil
}
