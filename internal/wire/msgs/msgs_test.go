package msgs

import (
	"reflect"
	"testing"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/core/catlg"
	"github.com/gypsumlanding/gypsumlanding/internal/core/ledger"
	"github.com/gypsumlanding/gypsumlanding/internal/core/roster"
	"github.com/gypsumlanding/gypsumlanding/pkg/jobkey"
	"github.com/vmihailenco/msgpack/v5"
)

// examples returns a message of each type with all fields set.
func examples() []any {
	node := roster.Node{Ref: roster.Ref{ID: "n1", Inc: 7}, Addr: "127.0.0.1:1", Domain: "d", Service: "s", Slots: 8, Leaving: true}
	shard := roster.Shard{Owner: node.Ref, MoveEpoch: 3, PrevOwner: roster.Ref{ID: "n0", Inc: 9}}
	key := jobkey.New("st", 4, time.UnixMilli(1_700_000_000_000))
	entry := catlg.Entry{
		Name: "plan", Owner: "o", Class: catlg.Urgent, Service: "s", Version: 5, Deleted: true,
		Limits: catlg.Limits{Tasks: 1, Running: 2, Rate: 3, Timeout: 4 * time.Millisecond},
	}
	item := ledger.Item{
		Key: key, RetainUntil: time.UnixMilli(1_700_000_010_000),
		Outcome: ledger.Outcome{State: ledger.Answered, Answers: [][]byte{[]byte("a"), []byte("b")}},
	}
	load := Load{
		Incarnation: 1, Timestamp: 2, Service: "s", TargetIncarnation: "t", Labels: []string{"l"}, CPU: 3, Memory: 4, GPU: 5,
		UsedCPU: 6, UsedMemory: 7, UsedGPU: 8, QueuedWork: 9, Speed: 1.5, BlockedReason: "a", Leaving: true, Domain: "z", ColdFor: 10,
		Interference: []Interference{{Slowed: "a", By: "b", Factor: 150, Evidence: 60}, {Slowed: "b", By: "a", Factor: 120, Evidence: 70}}, Kinds: []KindRuns{{Kind: "a", Runs: 1}},
		LastLoss: 11, Losses: []Loss{{Number: 11, Task: "t", Crash: CrashProven, Entry: "e", Incarnation: 14, ID: 15, LostFor: 16}},
	}
	order := Order{Domain: "z", Version: 14, Evacuated: true}
	return []any{
		&Run{Key: "k", Entry: "e", Service: "s", Epoch: 1, Deadline: 3, TimeLeft: 4, LookupOnly: true, Tasks: [][]byte{[]byte("x")}},
		&RunReply{State: 1, Reason: "r", NotOwner: true, NotAccepted: true, Epoch: 2, Answers: [][]byte{[]byte("x")}},
		&Start{Mode: Cancel, Key: "k", Task: 1, GateIncarnation: 3, Deadline: 4, TimeLeft: 5, MaxWait: 6, Service: "s", Entry: "e", Body: []byte("b")},
		&StartReply{State: 1, Reason: "r", Slots: 3, Running: 4, Queued: 5, MeanRunTime: 6, Leaving: true, Answer: []byte("a")},
		&Watch{Epoch: 1, CatalogueVersion: 2, MaxWait: 3},
		&WatchReply{
			Time: 1, RosterConfirmed: true, Epoch: 2, Roster: roster.FromParts(2, []roster.Node{node}, []roster.Shard{shard}),
			CatalogueVersion: 3, Entries: []catlg.Entry{entry},
		},
		&RosterChange{Kind: 1, Node: node},
		&Probe{SenderID: "a", SenderIncarnation: 1, SuspectID: "b", SuspectIncarnation: 2},
		&ProbeReply{Incarnation: 1, Suspected: true},
		&Take{Incarnation: 1, Shard: 2, MoveEpoch: 3},
		&TakeReply{OK: true, WrongIncarnation: true, Handover: ledger.Handover{
			MinEpoch: 1, PlainRefusedUntil: time.UnixMilli(2), LowWatermark: time.UnixMilli(3), Items: []ledger.Item{item},
		}},
		&Settle{Key: "k", RetainUntil: 2, State: 3, Reason: "r", Answers: [][]byte{[]byte("x")}},
		&Empty{},
		&Task{
			Sender: Sender{Entry: "e", Incarnation: 1, GateIncarnation: 2, EchoedTimestamp: 3}, ID: 4, Name: "n", Job: "j", Service: "s", Spec: "x",
			CPU: 5, Memory: 6, GPU: 7, ExpectedRunTime: 8, MaxQueueTime: 9, StartWithin: -10, Failures: 11, IgnoreBreaker: true,
			Cancel: []uint64{12, 13}, Order: order, Kind: "k", WantKinds: true, LeastRunTime: 7,
		},
		&TaskReply{Result: Failed, Reason: "r", RunTime: 1, Load: load, Crash: CrashSuspected, RevokedFor: 13},
		&Sync{Sender: Sender{Entry: "e", Incarnation: 1, GateIncarnation: 2, EchoedTimestamp: 3}, Cancel: []uint64{4, 5}, Order: order, WantKinds: true, LossesSeen: 6},
		&load,
		&Revoke{Sender: Sender{Entry: "e", Incarnation: 1, GateIncarnation: 2, EchoedTimestamp: 3}, Jobs: []string{"j", "k"}},
		&RevokeReply{Applied: true, Incarnation: 1, Timestamp: 2, Running: []string{"j"}},
		&Hello{Addr: "a"},
		&Gossip{Entry: "e", Members: []string{"m"}, ConfigVersion: 1, OutOfRotation: true, Orders: []Order{order, {Domain: "y", Version: 3}}},
		&GossipReply{Members: []string{"m"}, ConfigVersion: 1, Config: []byte("c"), PendingRoutes: []string{"r"}, PendingCounts: []int64{2}, OutOfRotation: true, Orders: []Order{order}},
		&Lookup{Job: "j", Cancel: true, Drain: true, EchoedTimestamp: 5},
		&LookupReply{State: "s", Timestamp: 5, OrphansFor: 6},
	}
}

func TestMessagesRoundTrip(t *testing.T) {
	for _, m := range examples() {
		encoded, err := msgpack.Marshal(m)
		if err != nil {
			t.Fatalf("%T: %v", m, err)
		}
		got := reflect.New(reflect.TypeOf(m).Elem()).Interface()
		if err := msgpack.Unmarshal(encoded, got); err != nil {
			t.Fatalf("%T: %v", m, err)
		}
		if !reflect.DeepEqual(m, got) {
			t.Errorf("%T: got %+v, want %+v", m, got, m)
		}
	}
}

func TestDecodingSkipsUnknownFieldsAndKeepsMissingOnes(t *testing.T) {
	longer, err := msgpack.Marshal([]any{uint64(1), uint64(2), int64(3), "new", []int{1}})
	if err != nil {
		t.Fatal(err)
	}
	var w Watch
	if err := msgpack.Unmarshal(longer, &w); err != nil || w != (Watch{Epoch: 1, CatalogueVersion: 2, MaxWait: 3}) {
		t.Errorf("longer message: got %+v, %v", w, err)
	}
	shorter, err := msgpack.Marshal([]any{uint64(4)})
	if err != nil {
		t.Fatal(err)
	}
	w = Watch{}
	if err := msgpack.Unmarshal(shorter, &w); err != nil || w != (Watch{Epoch: 4}) {
		t.Errorf("shorter message: got %+v, %v", w, err)
	}
}

// TestTaskOfOlderProcessDecodes reads a Task as processes sent it that ranked tasks by a
// time since the boot of the sender's machine, and as they sent it without cancellations.
// The time is not taken for StartWithin.
func TestTaskOfOlderProcessDecodes(t *testing.T) {
	fields := []any{
		"e", uint64(1), uint64(2), int64(3), uint64(4), "n", "j", "s", "x", 5, 6, 7, int64(8), int64(9), int64(3_600_000), 11, true,
	}
	want := Task{
		Sender: Sender{Entry: "e", Incarnation: 1, GateIncarnation: 2, EchoedTimestamp: 3}, ID: 4, Name: "n", Job: "j", Service: "s", Spec: "x",
		CPU: 5, Memory: 6, GPU: 7, ExpectedRunTime: 8, MaxQueueTime: 9, Failures: 11, IgnoreBreaker: true,
	}
	expectTask(t, fields, want)
	want.StartWithin = -10
	expectTask(t, append(fields, int64(-10)), want)
}

// expectTask checks that a message of these fields decodes as want.
func expectTask(t *testing.T, fields []any, want Task) {
	t.Helper()
	encoded, err := msgpack.Marshal(fields)
	if err != nil {
		t.Fatal(err)
	}
	var got Task
	if err := msgpack.Unmarshal(encoded, &got); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, %v, want %+v", got, err, want)
	}
}

func FuzzMessages(f *testing.F) {
	for _, m := range examples() {
		encoded, err := msgpack.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(encoded)
	}
	f.Fuzz(func(_ *testing.T, encoded []byte) {
		for _, m := range examples() {
			got := reflect.New(reflect.TypeOf(m).Elem()).Interface()
			_ = msgpack.Unmarshal(encoded, got)
		}
	})
}

// Guards against processes of before evacuations that can't be understood: each message
// that has an order or a failure domain now decodes without it, and means that there is none.
// Each new field takes one byte then, and the header two more from 16 fields on.
func TestMessagesWithoutOrdersDecode(t *testing.T) {
	for _, c := range []struct {
		older     []any
		got, want any
		added     int // fields
	}{
		{[]any{"e", uint64(1), uint64(2), int64(3), []uint64{4}}, &Sync{}, &Sync{Sender: Sender{"e", 1, 2, 3}, Cancel: []uint64{4}}, 2},
		{[]any{"e", []string{"m"}, int64(5), true}, &Gossip{}, &Gossip{Entry: "e", Members: []string{"m"}, ConfigVersion: 5, OutOfRotation: true}, 1},
		{[]any{[]string{"m"}, int64(5), []byte("c"), []string{}, []int64{}, true}, &GossipReply{}, &GossipReply{
			Members: []string{"m"}, ConfigVersion: 5, Config: []byte("c"), PendingRoutes: []string{}, PendingCounts: []int64{}, OutOfRotation: true,
		}, 1},
		{
			[]any{uint64(1), int64(2), "s", "t", []string{"l"}, 3, 4, 5, 6, 7, 8, int64(9), 1.5, "a", true}, &Load{},
			&Load{
				Incarnation: 1, Timestamp: 2, Service: "s", TargetIncarnation: "t", Labels: []string{"l"}, CPU: 3, Memory: 4, GPU: 5,
				UsedCPU: 6, UsedMemory: 7, UsedGPU: 8, QueuedWork: 9, Speed: 1.5, BlockedReason: "a", Leaving: true,
			}, 4,
		},
	} {
		older, err := msgpack.Marshal(c.older)
		if err != nil {
			t.Fatal(err)
		}
		if err := msgpack.Unmarshal(older, c.got); err != nil || !reflect.DeepEqual(c.got, c.want) {
			t.Errorf("got %+v, %v, want %+v", c.got, err, c.want)
		}
		header := 0
		if len(c.older) < 16 && len(c.older)+c.added >= 16 {
			header = 2
		}
		if encoded, err := msgpack.Marshal(c.want); err != nil || len(encoded) > len(older)+c.added+header {
			t.Errorf("%T takes %d bytes, %d before (%v)", c.want, len(encoded), len(older), err)
		}
	}
}
