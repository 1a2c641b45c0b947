package codec_test

import (
	"net"
	"net/rpc"
	"testing"

	"github.com/gypsumlanding/gypsumlanding/internal/wire/codec"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/msgs"
)

// Echo is an RPC service for the tests.
type Echo struct{}

// Start returns the deadline of the call as the run time, and its body as the answer.
func (Echo) Start(args *msgs.Start, reply *msgs.StartReply) error {
	reply.MeanRunTime = args.Deadline
	reply.Answer = args.Body
	return nil
}

// Fail always returns an error.
func (Echo) Fail(*msgs.Start, *msgs.StartReply) error { return rpc.ServerError("echo failed") }

// newClient returns a client of an Echo server on the loopback interface. The
// connection uses the codec of this package or, with useGob, that of net/rpc.
func newClient(tb testing.TB, useGob bool) *rpc.Client {
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
		if useGob {
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
	if useGob {
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

func newStart() *msgs.Start {
	return &msgs.Start{
		Key: "g1.steiermark.2a.lf0xk3m2.ABCDEFGHIJKLMNOP", Task: 3, GateIncarnation: 1 << 51,
		Deadline: 1_700_000_000_000, TimeLeft: 900, Service: "dehnplan", Entry: "plan", Body: make([]byte, 200),
	}
}

func TestCallsReturnRepliesAndErrors(t *testing.T) {
	client := newClient(t, false)
	for range 3 {
		var reply msgs.StartReply
		if err := client.Call("Echo.Start", newStart(), &reply); err != nil {
			t.Fatal(err)
		}
		if reply.MeanRunTime != newStart().Deadline || len(reply.Answer) != 200 {
			t.Errorf("got %+v", reply)
		}
		if err := client.Call("Echo.Fail", newStart(), &reply); err == nil || err.Error() != "echo failed" {
			t.Errorf("got error %v, want echo failed", err)
		}
		if err := client.Call("Echo.None", newStart(), &reply); err == nil {
			t.Error("a call of an unknown method succeeded")
		}
	}
}

func BenchmarkCallMsgpack(b *testing.B) { benchmarkCall(b, newClient(b, false)) }

func BenchmarkCallGob(b *testing.B) { benchmarkCall(b, newClient(b, true)) }

func benchmarkCall(b *testing.B, client *rpc.Client) {
	args := newStart()
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
