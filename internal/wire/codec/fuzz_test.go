package codec_test

import (
	"bytes"
	"io"
	"net/rpc"
	"runtime"
	"testing"

	"github.com/gypsumlanding/gypsumlanding/internal/wire/codec"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/msgs"
)

// Bounds of what decoding may allocate: a connection's buffers and what the fuzzing itself
// allocates meanwhile, and a multiple of the input. The costliest input is a list of empty
// arrays, each of which becomes a struct.
const (
	fuzzFixedBytes   = 2 << 20
	fuzzBytesPerByte = 2048
)

// input is a connection from which only the given bytes arrive.
type input struct{ io.Reader }

func (input) Write(p []byte) (int, error) { return len(p), nil }
func (input) Close() error                { return nil }

// arguments returns a new value of each type that calls and replies carry.
func arguments() []any {
	return []any{
		&msgs.Run{}, &msgs.RunReply{}, &msgs.Start{}, &msgs.StartReply{}, &msgs.Watch{}, &msgs.WatchReply{}, &msgs.RosterChange{},
		&msgs.Probe{}, &msgs.ProbeReply{}, &msgs.Take{}, &msgs.TakeReply{}, &msgs.Settle{}, &msgs.Empty{}, &msgs.Task{}, &msgs.TaskReply{},
		&msgs.Sync{}, &msgs.Load{}, &msgs.Revoke{}, &msgs.RevokeReply{}, &msgs.Hello{}, &msgs.Gossip{}, &msgs.GossipReply{},
		&msgs.Lookup{}, &msgs.LookupReply{}, nil,
	}
}

// decode reads a call with the given argument from data.
func decode(data []byte, argument any) {
	server := codec.NewLimitedServer(input{bytes.NewReader(data)}, codec.Limits{})
	var r rpc.Request
	if server.ReadRequestHeader(&r) == nil {
		_ = server.ReadRequestBody(argument)
	}
}

// decodeReply reads a reply with the given body from data.
func decodeReply(data []byte, body any) {
	client := codec.NewClient(input{bytes.NewReader(data)})
	var r rpc.Response
	if client.ReadResponseHeader(&r) == nil {
		_ = client.ReadResponseBody(body)
	}
}

// checkAllocation fails the test if run allocates more than an input of the given length allows.
func checkAllocation(t *testing.T, length int, run func()) {
	t.Helper()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	run()
	runtime.ReadMemStats(&after)
	if got, limit := after.TotalAlloc-before.TotalAlloc, uint64(fuzzFixedBytes+fuzzBytesPerByte*length); got > limit {
		t.Errorf("%d bytes are allocated for %d", got, length)
	}
}

// FuzzCall guards against calls of strangers that make a process panic or allocate what they only
// announce.
func FuzzCall(f *testing.F) {
	f.Add([]byte("\x92\xa9Gate.Sync\x01\x95\xa1e\x01\x02\x03\x92\x04\x05"))
	f.Fuzz(func(t *testing.T, data []byte) {
		for _, argument := range arguments() {
			checkAllocation(t, len(data), func() { decode(data, argument) })
		}
	})
}

// FuzzReply is the same for replies.
func FuzzReply(f *testing.F) {
	f.Add([]byte("\x93\xa9Gate.Sync\x01\xa0\x92\x01\x02"))
	f.Fuzz(func(t *testing.T, data []byte) {
		for _, body := range arguments() {
			checkAllocation(t, len(data), func() { decodeReply(data, body) })
		}
	})
}

// Arrays within arrays recurse when they are skipped, which ended a process of 11 GB.
func TestNestedArraysAreMalformed(t *testing.T) {
	data := append([]byte("\x92\xa4none\x01"), bytes.Repeat([]byte{0x91}, 1<<20)...)
	server := codec.NewServer(input{bytes.NewReader(data)})
	var r rpc.Request
	if err := server.ReadRequestHeader(&r); err != nil {
		t.Fatal(err)
	}
	if err := server.ReadRequestBody(nil); err != codec.ErrMalformed {
		t.Errorf("got %v", err)
	}
}

// A length that is only announced must not allocate as many bytes, and what was reserved for the
// part that arrived is released.
func TestAnnouncedLengthIsNotAllocated(t *testing.T) {
	reserved := int64(0)
	limits := codec.Limits{
		MaxMessage: 1 << 31,
		Reserve:    func(n, _ int64) bool { reserved += n; return true },
		Release:    func(n int64) { reserved -= n },
	}
	data := append([]byte("\x92\xa9Gate.Take\x01\x91\xc6\x40\x00\x00\x00"), make([]byte, 200<<10)...)
	checkAllocation(t, len(data)/fuzzBytesPerByte, func() {
		server := codec.NewLimitedServer(input{bytes.NewReader(data)}, limits)
		var r rpc.Request
		if err := server.ReadRequestHeader(&r); err != nil {
			t.Fatal(err)
		}
		if err := server.ReadRequestBody(&msgs.Start{}); err == nil {
			t.Error("a message without its end was read")
		}
	})
	if reserved != 0 {
		t.Errorf("%d bytes are still reserved", reserved)
	}
}

// A message beyond the limit ends the connection before it has been read.
func TestMessageBeyondLimitIsRefused(t *testing.T) {
	data := append([]byte("\x92\xa9Gate.Take\x01\x91\xc6\x00\x10\x00\x00"), make([]byte, 1<<20)...)
	server := codec.NewLimitedServer(input{bytes.NewReader(data)}, codec.Limits{MaxMessage: 512 << 10})
	var r rpc.Request
	if err := server.ReadRequestHeader(&r); err != nil {
		t.Fatal(err)
	}
	if err := server.ReadRequestBody(&msgs.Start{}); err != codec.ErrTooLarge {
		t.Errorf("got %v", err)
	}
}
