package codec

import (
	"bufio"
	"io"
	"net/rpc"

	"github.com/vmihailenco/msgpack/v5"
)

// Lengths of the header arrays.
const (
	requestFields  = 2
	responseFields = 3
)

// stream is a connection with its encoder and the values that arrive.
type stream struct {
	conn io.ReadWriteCloser
	buf  *bufio.Writer
	enc  *msgpack.Encoder
	in   *frame
}

func newStream(conn io.ReadWriteCloser, limits Limits) stream {
	buf := bufio.NewWriter(conn)
	return stream{
		conn: conn,
		buf:  buf,
		enc:  msgpack.NewEncoder(buf),
		in:   newFrame(bufio.NewReader(conn), limits),
	}
}

// write sends the header fields as one array, and then the body.
func (s stream) write(body any, header ...any) error {
	if err := s.enc.EncodeArrayLen(len(header)); err != nil {
		return err
	}
	if err := s.enc.EncodeMulti(header...); err != nil {
		return err
	}
	if err := s.enc.Encode(body); err != nil {
		return err
	}
	return s.buf.Flush()
}

// readHeader reads an array of the given number of fields into the given pointers.
func (s stream) readHeader(fields int, header ...any) error {
	dec, err := s.in.next()
	defer s.in.release()
	if err != nil {
		return err
	}
	n, err := dec.DecodeArrayLen()
	if err != nil {
		return err
	}
	if n != fields {
		return io.ErrUnexpectedEOF
	}
	return dec.DecodeMulti(header...)
}

// readBody reads a value into body, or skips it if body is nil.
func (s stream) readBody(body any) error {
	dec, err := s.in.next()
	defer s.in.release()
	if err != nil || body == nil {
		return err
	}
	return dec.Decode(body)
}

// clientCodec implements rpc.ClientCodec.
type clientCodec struct{ stream }

// NewClient returns the codec for the client's end of conn, to be passed to
// rpc.NewClientWithCodec.
func NewClient(conn io.ReadWriteCloser) rpc.ClientCodec {
	return clientCodec{newStream(conn, Limits{})}
}

// WriteRequest sends one call.
func (c clientCodec) WriteRequest(r *rpc.Request, body any) error {
	return c.write(body, r.ServiceMethod, r.Seq)
}

// ReadResponseHeader reads the header of the next reply.
func (c clientCodec) ReadResponseHeader(r *rpc.Response) error {
	return c.readHeader(responseFields, &r.ServiceMethod, &r.Seq, &r.Error)
}

// ReadResponseBody reads the body of a reply, or skips it if body is nil.
func (c clientCodec) ReadResponseBody(body any) error { return c.readBody(body) }

// Close closes the connection.
func (c clientCodec) Close() error { return c.conn.Close() }

// serverCodec implements rpc.ServerCodec.
type serverCodec struct{ stream }

// NewServer returns the codec for the server's end of conn, to be passed to
// rpc.ServeCodec.
func NewServer(conn io.ReadWriteCloser) rpc.ServerCodec { return NewLimitedServer(conn, Limits{}) }

// NewLimitedServer is like NewServer for a connection whose messages are limited.
func NewLimitedServer(conn io.ReadWriteCloser, limits Limits) rpc.ServerCodec {
	return serverCodec{newStream(conn, limits)}
}

// ReadRequestHeader reads the header of the next call.
func (s serverCodec) ReadRequestHeader(r *rpc.Request) error {
	return s.readHeader(requestFields, &r.ServiceMethod, &r.Seq)
}

// ReadRequestBody reads the body of a call, or skips it if body is nil.
func (s serverCodec) ReadRequestBody(body any) error { return s.readBody(body) }

// WriteResponse sends one reply. A reply with an error has a nil body.
func (s serverCodec) WriteResponse(r *rpc.Response, body any) error {
	if r.Error != "" {
		body = nil
	}
	return s.write(body, r.ServiceMethod, r.Seq, r.Error)
}

// Close closes the connection.
func (s serverCodec) Close() error { return s.conn.Close() }
