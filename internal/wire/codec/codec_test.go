package codec_test

import (
	"net"
	"net/rpc"
	"testing"

	"github.com/gypsumlanding/gypsumlanding/internal/wire/codec"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/msgs"
)

// Echo answers with what it got.
type Echo struct{}

// Start answers with the body.
func (Echo) Start(args *msgs.Start, reply *msgs.StartReply) error {
	reply.MeanRunTime = args.Deadline
	reply.Answer = args.Body
	return nil
}

// Fail returns an error.
func (Echo) Fail(*msgs.Start, *msgs.StartReply) error { return rpc.ServerError("as told") }

// pair returns a client and serves its other end on loopback, with the codec or
// with net/rpc's own.
func pair(tb testing.TB, own bool) *rpc.Client {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	srv := rpc.NewServer()
	if err := srv.Register(Echo{}); err != nil {
		tb.Fatal(err)
	}
	go func() {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		if own {
			srv.ServeConn(conn)
			return
		}
		srv.ServeCodec(codec.NewServer(conn))
	}()
	conn, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		tb.Fatal(err)
	}
	var client *rpc.Client
	if own {
		client = rpc.NewClient(conn)
	} else {
		client = rpc.NewClientWithCodec(codec.NewClient(conn))
	}
	tb.Cleanup(func() {
		_ = client.Close()
		_ = ln.Close()
	})
	return client
}

func message() *msgs.Start {
	return &msgs.Start{
		Key: "g1.steiermark.2a.lf0xk3m2.ABCDEFGHIJKLMNOP", Task: 3, GateIncarnation: 1 << 51,
		Deadline: 1_700_000_000_000, TimeLeft: 900, Service: "dehnplan", Entry: "plan", Body: make([]byte, 200),
	}
}

func TestCallsAndErrorsArrive(t *testing.T) {
	client := pair(t, false)
	for range 3 {
		var reply msgs.StartReply
		if err := client.Call("Echo.Start", message(), &reply); err != nil {
			t.Fatal(err)
		}
		if reply.MeanRunTime != message().Deadline || len(reply.Answer) != 200 {
			t.Errorf("got %+v", reply)
		}
		if err := client.Call("Echo.Fail", message(), &reply); err == nil || err.Error() != "as told" {
			t.Errorf("got error %v, want as told", err)
		}
		if err := client.Call("Echo.None", message(), &reply); err == nil {
			t.Error("a call of no method succeeded")
		}
	}
}

func BenchmarkCallMsgpack(b *testing.B) { benchmarkCall(b, pair(b, false)) }

func BenchmarkCallGob(b *testing.B) { benchmarkCall(b, pair(b, true)) }

func benchmarkCall(b *testing.B, client *rpc.Client) {
	args := message()
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			var reply msgs.StartReply
			if err := client.Call("Echo.Start", args, &reply); err != nil {
				b.Error(err)
				return
			}
		}
	})
}
