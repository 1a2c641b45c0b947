package guard

import (
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Conn is a connection of a client.
type Conn struct {
	net.Conn
	Slot

	guard *Guard
	// Lines and bytes of the header that is being read, as far as they are reserved or free.
	lines, headerBytes int
	headerEnded        bool
	lastHeader         atomic.Int64 // bytes of the latest header that ended
	body               body
	bodyAborted        atomic.Bool // by AbortBodies
	once               sync.Once
}

// Read reads from the connection. It fails if a header has too many fields.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	c.Progress(time.Now().UnixNano())
	if c.guard.NoHTTP || c.Phase() != Header {
		c.lines, c.headerEnded = 0, true
	} else if !c.readHeader(p[:n]) {
		c.guard.report(CauseFields)
		_ = c.Close()
		return 0, net.ErrClosed
	}
	return n, err
}

// readHeader reserves what the lines of a part of a header cost, and reports whether it could.
func (c *Conn) readHeader(data []byte) bool {
	if c.headerEnded {
		c.lines, c.headerBytes, c.headerEnded = 0, 0, false
	}
	lines, bytes, ended := headerLines(data)
	cost := max(c.lines+lines-max(c.lines, freeFields), 0)*fieldCost + max(c.headerBytes+bytes-max(c.headerBytes, freeHeader), 0)*bodyCost
	if cost > 0 && !c.reserve(int64(cost)) {
		return false
	}
	c.lines, c.headerBytes, c.headerEnded = c.lines+lines, c.headerBytes+bytes, ended
	if ended {
		c.lastHeader.Store(int64(c.headerBytes))
	}
	return true
}

// Write writes to the connection. It fails if the client does not read.
func (c *Conn) Write(p []byte) (int, error) {
	if c.guard.NoHTTP {
		return c.Conn.Write(p)
	}
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.guard.report(CauseUnread)
		_ = c.Close()
	}
	return n, err
}

// Close closes the connection.
func (c *Conn) Close() error {
	c.release()
	c.once.Do(func() {
		c.guard.Table.Remove(&c.Slot)
		c.guard.conns.Delete(&c.Slot)
	})
	return c.Conn.Close()
}

// SetBusy records whether calls are in progress on a connection that carries no HTTP.
func (c *Conn) SetBusy(busy bool) {
	if busy {
		c.Enter(Working)
		return
	}
	c.Enter(Header)
}

// CloseWrite closes the side of the connection that sends, as net/http does to let the client
// read an answer before a reset.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return syscall.ENOTSUP
}

// SyscallConn returns the raw connection.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	if socket, ok := c.Conn.(syscall.Conn); ok {
		return socket.SyscallConn()
	}
	return nil, syscall.ENOTSUP
}

// release releases the bytes that are reserved for the connection.
func (c *Conn) release() {
	if n := c.reserved.Swap(0); n > 0 {
		c.guard.Bodies.Release(n)
	}
}

// reserve reserves bytes for the connection until its request has been answered. If there are too
// few, the slowest body gives way.
func (c *Conn) reserve(n int64) bool {
	b := c.guard.Bodies
	if b == nil {
		return true
	}
	for !b.Reserve(n, c.reserved.Load()) {
		victim := c.guard.Table.SlowestBody(time.Now().UnixNano())
		if victim == nil || victim == &c.Slot {
			c.guard.report(CauseBody)
			return false
		}
		c.guard.report(CauseSlow)
		c.guard.closeSlot(victim)
	}
	c.reserved.Add(n)
	return true
}
