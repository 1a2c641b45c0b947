package test

import (
	"fmt"
	"io"
	"net"
	"strings"
	"time"
)

// Bytes that the clients between processes send, which all of them share.
var (
	nestedCall = []byte("\x92\xa4none\x01" + strings.Repeat("\x91", 1<<20))
	manyCalls  = []byte(strings.Repeat("\x92\xa9Gate.Sync\x01\x90", 50_000))
)

// ingressHeader is the start of a caller's request with a body.
const ingressHeader = "POST %s HTTP/1.1\r\nHost: jobs.example\r\nContent-Type: application/json\r\n"

// exchange connects to addr, writes what send sends, and holds the connection until stop is
// closed. If the process closes it, a new one is made after a pause, as a persistent client does.
func exchange(addr string, stop <-chan struct{}, read bool, send func(net.Conn) error) {
	for {
		conn, err := net.DialTimeout("tcp", addr, time.Second)
		if err == nil {
			over := make(chan struct{})
			go func() {
				defer close(over)
				if send(conn) != nil {
					return
				}
				if read {
					_, _ = io.Copy(io.Discard, conn)
				} else {
					<-stop
				}
			}()
			select {
			case <-over:
			case <-stop:
			}
			_ = conn.Close()
			<-over
		}
		select {
		case <-stop:
			return
		case <-time.After(200 * time.Millisecond):
		}
	}
}

// sendAll returns a client that sends what header returns for its number, and then body, and reads
// the answers. All clients share the bytes of the body: copies of it for each connection take the
// processor from the stand-ins, which run in the same process.
func sendAll(header func(number int) string, body []byte) ingressClient {
	return func(addr string, number int, stop <-chan struct{}) {
		exchange(addr, stop, true, func(conn net.Conn) error {
			if _, err := io.WriteString(conn, header(number)); err != nil {
				return err
			}
			_, err := conn.Write(body)
			return err
		})
	}
}

// stoppedBody returns a client that announces a body and sends only a part of it.
func stoppedBody(path string, sent, announced int) ingressClient {
	return sendAll(func(number int) string {
		return fmt.Sprintf(ingressHeader+"Content-Length: %d\r\n\r\n", fmt.Sprintf(path, number), announced)
	}, []byte((`{"spec":"` + strings.Repeat("x", sent))[:sent]))
}

// bodyInPieces returns a client like stoppedBody that sends its part in small pieces.
func bodyInPieces(path string, sent int) ingressClient {
	return func(addr string, number int, stop <-chan struct{}) {
		exchange(addr, stop, true, func(conn net.Conn) error {
			if _, err := fmt.Fprintf(conn, ingressHeader+"Content-Length: %d\r\n\r\n", fmt.Sprintf(path, number), sent+10); err != nil {
				return err
			}
			piece := []byte(strings.Repeat("x", 4<<10))
			for left := sent; left > 0; left -= len(piece) {
				if _, err := conn.Write(piece[:min(left, len(piece))]); err != nil {
					return err
				}
				time.Sleep(10 * time.Millisecond)
			}
			return nil
		})
	}
}

// chunkedBody returns a client that sends a body in chunks, without its end.
func chunkedBody(path string, sent int) ingressClient {
	chunk := fmt.Sprintf("%x\r\n%s\r\n", 1<<10, strings.Repeat("x", 1<<10))
	return sendAll(func(number int) string {
		return fmt.Sprintf(ingressHeader+"Transfer-Encoding: chunked\r\n\r\n", fmt.Sprintf(path, number))
	}, []byte(strings.Repeat(chunk, sent>>10)))
}

// shortFields returns a client that sends a whole job of very many short steps.
func shortFields(path string, size int) ingressClient {
	steps := strings.Repeat("{},", size/3-20)
	body := `{"best-effort":true,"steps":[` + steps + `{}]}`
	return sendAll(func(number int) string {
		return fmt.Sprintf(ingressHeader+"Content-Length: %d\r\n\r\n", fmt.Sprintf(path, number), len(body))
	}, []byte(body))
}

// shortLabels returns a client that sends a whole heartbeat of very many short labels.
func shortLabels(path string, size int) ingressClient {
	body := `{"labels":[` + strings.Repeat(`"",`, size/3-20) + `""]}`
	return sendAll(func(number int) string {
		return fmt.Sprintf(ingressHeader+"Content-Length: %d\r\n\r\n", fmt.Sprintf(path, number), len(body))
	}, []byte(body))
}

// pipelined returns a client that sends many requests and reads no answer.
func pipelined(path string) ingressClient {
	requests := []byte(strings.Repeat("GET "+path+" HTTP/1.1\r\nHost: jobs.example\r\n\r\n", 20_000))
	return func(addr string, _ int, stop <-chan struct{}) {
		exchange(addr, stop, false, func(conn net.Conn) error {
			_, err := conn.Write(requests)
			return err
		})
	}
}

// stoppedHeaders returns a client that sends many header lines, and not the end of them.
func stoppedHeaders(path string) ingressClient {
	var header strings.Builder
	fmt.Fprintf(&header, "GET %s HTTP/1.1\r\nHost: jobs.example\r\n", path)
	for i := range 1500 {
		fmt.Fprintf(&header, "A%d:b\r\n", i)
	}
	return sendAll(func(int) string { return header.String() }, nil)
}

// silent is a client that connects and sends nothing.
func silent(addr string, _ int, stop <-chan struct{}) {
	exchange(addr, stop, true, func(net.Conn) error { return nil })
}

// announcedBytes returns a client that announces a text of 1 GiB in a call and stops.
func announcedBytes(method string) ingressClient {
	// The argument is an array of one text, whose length is announced as 1 GiB.
	call := "\x92" + string([]byte{0xa0 + byte(len(method))}) + method + "\x01\x91\xdb\x40\x00\x00\x00"
	return sendAll(func(int) string { return call }, []byte(strings.Repeat("x", ingressBody)))
}

// nestedArrays is a client that sends an argument of arrays within arrays.
func nestedArrays(addr string, _ int, stop <-chan struct{}) {
	exchange(addr, stop, true, func(conn net.Conn) error {
		_, err := conn.Write(nestedCall)
		return err
	})
}

// unreadCalls is a client that makes many calls and reads no reply.
func unreadCalls(addr string, _ int, stop <-chan struct{}) {
	exchange(addr, stop, false, func(conn net.Conn) error {
		_, err := conn.Write(manyCalls)
		return err
	})
}
