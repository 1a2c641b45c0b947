package guard

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"os"
	"time"
)

const (
	// freeBytes is what a request may hold without a reservation. The limit on connections bounds
	// it. Nearly all jobs are smaller, and so can't be refused for what other clients hold.
	freeBytes = 8 << 10
	// bodyCost is what a byte of a body costs: the buffer that grows, and what it is decoded to.
	bodyCost = 4
	// stallTimeout is how long a client may pause within a body, and readTimeout how long it may
	// take for all of it.
	stallTimeout = 5 * time.Second
	readTimeout  = 30 * time.Second
)

// body is the body of a request, whose bytes are reserved before they are read.
type body struct {
	io.ReadCloser
	conn    *Conn
	length  int64 // -1 if it is not announced
	allowed int64 // bytes that may be read before the next reservation
	read    int64
}

// Read reads from the body. The error is ErrBusy if the bytes can't be reserved.
func (b *body) Read(p []byte) (int, error) {
	if b.read >= b.allowed && !b.grow() {
		return 0, ErrBusy
	}
	if room := b.allowed - b.read; int64(len(p)) > room {
		p = p[:room]
	}
	if b.read > 0 {
		b.extendDeadline()
	}
	n, err := b.ReadCloser.Read(p)
	b.read += int64(n)
	b.conn.bodyRead.Store(b.read)
	if errors.Is(err, io.EOF) {
		b.conn.finishBody()
	} else if errors.Is(err, os.ErrDeadlineExceeded) {
		b.conn.guard.report(CauseSlow)
	}
	return n, err
}

// AbortBodies makes all bodies fail that are being read, as their requests will be refused.
func (g *Guard) AbortBodies() {
	g.conns.Range(func(_, conn any) bool {
		if c, ok := conn.(*Conn); ok && c.Phase() == Body {
			c.abortBody()
		}
		return true
	})
}

// abortBody ends the read of a body that waits for the client, and all that follow.
func (c *Conn) abortBody() {
	c.bodyAborted.Store(true)
	// The connection fails anyway if this does.
	_ = c.SetReadDeadline(time.Unix(1, 0))
}

// extendDeadline gives the client the time for its next bytes, unless the body was aborted.
func (b *body) extendDeadline() {
	now := time.Now()
	deadline := time.Unix(0, b.conn.bodySince.Load()).Add(readTimeout)
	if stall := now.Add(stallTimeout); stall.Before(deadline) {
		deadline = stall
	}
	// The connection fails anyway if this does.
	_ = b.conn.SetReadDeadline(deadline)
	if b.conn.bodyAborted.Load() {
		b.conn.abortBody()
	}
}

// grow reserves as many bytes as have been read already.
func (b *body) grow() bool {
	next := b.allowed * 2
	if b.length >= 0 {
		next = min(next, max(b.length, b.allowed+1))
	}
	if !b.conn.reserve((next - b.allowed) * bodyCost) {
		return false
	}
	b.allowed = next
	return true
}

// beginRequest records the start of a request.
func (c *Conn) beginRequest(r *http.Request) {
	if r.ContentLength == 0 {
		c.finishBody()
		return
	}
	c.body = body{ReadCloser: r.Body, conn: c, length: r.ContentLength, allowed: freeBytes}
	c.bodySince.Store(c.progress.Load()) // the header has just arrived
	c.bodyRead.Store(0)
	c.bodyAborted.Store(false)
	c.Enter(Body)
	r.Body = &c.body
}

// finishBody records that a request has been read. From then on no deadline ends the wait for the
// answer.
func (c *Conn) finishBody() {
	c.Enter(Working)
	_ = c.SetReadDeadline(time.Time{})
}

// endRequest records that the handler of a request has returned.
func (c *Conn) endRequest() {
	c.release()
	c.Progress(time.Now().UnixNano())
	if c.Phase() == Working {
		c.Serve()
	}
	c.Enter(Finishing)
}

// Handler returns a handler that bounds the bodies of requests before next handles
// them. It has an effect only for connections of Listener.
func (g *Guard) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*Conn)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		if n := int(c.lastHeader.Load()); n > freeHeader && (g.MaxHeader == nil || n > g.MaxHeader()) {
			c.release()
			g.report(CauseFields)
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusRequestHeaderFieldsTooLarge)
			return
		}
		// net/http examines the type of the body when it writes a header, in particular that of a
		// client that waits for status 100, so it gets its own body back.
		original := r.Body
		if r.Header.Get("Expect") != "" {
			r = r.WithContext(r.Context())
		}
		c.beginRequest(r)
		defer func() {
			r.Body = original
			c.endRequest()
		}()
		next.ServeHTTP(w, r)
	})
}

// headerLines returns the number of lines and bytes of a header in data, and whether the header ends
// there. What follows its end may be a body.
func headerLines(data []byte) (lines, length int, ended bool) {
	end := bytes.Index(data, []byte("\n\r\n"))
	if bare := bytes.Index(data, []byte("\n\n")); end < 0 || bare >= 0 && bare < end {
		end = bare
	}
	if end >= 0 {
		data = data[:end]
	}
	return bytes.Count(data, []byte("\n")), len(data), end >= 0
}
