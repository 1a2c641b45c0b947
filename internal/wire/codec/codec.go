package codec

import (
	"bufio"
	"io"
	"net/rpc"

	"github.com/vmihailenco/msgpack/v5"
)

const (
	requestFields  = 2
	responseFields = 3
)

// stream is one connection's encoder and decoder.
type stream struct {
	conn io.ReadWriteCloser
	buf  *bufio.Writer
	enc  *msgpack.Encoder
	dec  *msgpack.Decoder
}

func newStream(conn io.ReadWriteCloser) stream {
	buf := bufio.NewWriter(conn)
	return stream{
		conn: conn,
		buf:  buf,
		enc:  msgpack.NewEncoder(buf),
		dec:  msgpack.NewDecoder(bufio.NewReader(conn)),
	}
}

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

func (s stream) readHeader(fields int, header ...any) error {
	n, err := s.dec.DecodeArrayLen()
	if err != nil {
		return err
	}
	if n != fields {
		return io.ErrUnexpectedEOF
	}
	return s.dec.DecodeMulti(header...)
}

func (s stream) readBody(body any) error {
	if body == nil {
		return s.dec.Skip()
	}
	return s.dec.Decode(body)
}

type client struct{ stream }

// NewClient returns the client's side of a connection for rpc.NewClientWithCodec.
func NewClient(conn io.ReadWriteCloser) rpc.ClientCodec { return client{newStream(conn)} }

// WriteRequest sends one call.
func (c client) WriteRequest(r *rpc.Request, body any) error {
	return c.write(body, r.ServiceMethod, r.Seq)
}

// ReadResponseHeader reads the header of the next reply.
func (c client) ReadResponseHeader(r *rpc.Response) error {
	return c.readHeader(responseFields, &r.ServiceMethod, &r.Seq, &r.Error)
}

// ReadResponseBody reads or, with nil, skips the body of a reply.
func (c client) ReadResponseBody(body any) error { return c.readBody(body) }

// Close closes the connection.
func (c client) Close() error { return c.conn.Close() }

type server struct{ stream }

// NewServer returns the server's side of a connection for rpc.ServeCodec.
func NewServer(conn io.ReadWriteCloser) rpc.ServerCodec { return server{newStream(conn)} }

// ReadRequestHeader reads the header of the next call.
func (s server) ReadRequestHeader(r *rpc.Request) error {
	return s.readHeader(requestFields, &r.ServiceMethod, &r.Seq)
}

// ReadRequestBody reads or, with nil, skips the body of a call.
func (s server) ReadRequestBody(body any) error { return s.readBody(body) }

// WriteResponse sends one reply.
func (s server) WriteResponse(r *rpc.Response, body any) error {
	if r.Error != "" {
		body = nil
	}
	return s.write(body, r.ServiceMethod, r.Seq, r.Error)
}

// Close closes the connection.
func (s server) Close() error { return s.conn.Close() }
