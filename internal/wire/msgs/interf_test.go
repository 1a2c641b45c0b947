package msgs

import (
	"reflect"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
)

// TestLoadOfOlderProcessDecodes reads a Load as processes sent it that did not know of
// interference, and checks that what is empty costs one byte each, since loads are sent with each
// task.
func TestLoadOfOlderProcessDecodes(t *testing.T) {
	want := Load{Incarnation: 1, Timestamp: 2, Service: "s", TargetIncarnation: "t", CPU: 3, Speed: 1.5, Leaving: true}
	fields := []any{uint64(1), int64(2), "s", "t", []string(nil), 3, 0, 0, 0, 0, 0, int64(0), 1.5, "", true}
	old, err := msgpack.Marshal(fields)
	if err != nil {
		t.Fatal(err)
	}
	var got Load
	if err := msgpack.Unmarshal(old, &got); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, %v, want %+v", got, err, want)
	}
	expectLonger(t, &want, old, 4) // the fields of evacuations come before
}

// TestTaskWithoutKindDecodes does the same for a Task without Kind, and for a Sync without
// WantKinds.
func TestTaskWithoutKindDecodes(t *testing.T) {
	want := Task{Sender: Sender{Entry: "e", Incarnation: 1, GateIncarnation: 2, EchoedTimestamp: 3}, ID: 4, StartWithin: -10, Cancel: []uint64{12}}
	fields := []any{"e", uint64(1), uint64(2), int64(3), uint64(4), "", "", "", "", 0, 0, 0, int64(0), int64(0), int64(0), 0, false, int64(-10), []uint64{12}}
	expectTask(t, fields, want)
	old, err := msgpack.Marshal(fields)
	if err != nil {
		t.Fatal(err)
	}
	expectLonger(t, &want, old, 3)

	old, err = msgpack.Marshal([]any{"e", uint64(1), uint64(2), int64(3), []uint64{12}})
	if err != nil {
		t.Fatal(err)
	}
	sync := Sync{Sender: want.Sender, Cancel: []uint64{12}}
	var got Sync
	if err := msgpack.Unmarshal(old, &got); err != nil || !reflect.DeepEqual(got, sync) {
		t.Errorf("got %+v, %v, want %+v", got, err, sync)
	}
	expectLonger(t, &sync, old, 2)
}

// expectLonger checks that a message takes n bytes more than the old form of it. An array of
// 16 elements and more has a header of two bytes more.
func expectLonger(t *testing.T, m any, old []byte, n int) {
	t.Helper()
	encoded, err := msgpack.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	header := func(b []byte) int {
		if b[0]&0xf0 == 0x90 {
			return 1
		}
		return 3
	}
	if got := len(encoded) - header(encoded) - len(old) + header(old); got != n {
		t.Errorf("%T: %d bytes more, want %d", m, got, n)
	}
}
