package rows

import (
	"reflect"
	"testing"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/core/catlg"
	"github.com/gypsumlanding/gypsumlanding/internal/core/roster"
)

func exampleRoster() roster.Roster {
	a := roster.Node{Ref: roster.Ref{ID: "a", Inc: 1 << 52}, Addr: "127.0.0.1:1", Domain: "d", Service: "s", Slots: 8}
	b := roster.Node{Ref: roster.Ref{ID: "b", Inc: 7}, Addr: "127.0.0.1:2", Domain: "d", Leaving: true}
	return roster.FromParts(9, []roster.Node{b, a}, []roster.Shard{
		{Owner: a.Ref, MoveEpoch: 9, PrevOwner: roster.Ref{ID: "gone", Inc: 3}}, {Owner: b.Ref, MoveEpoch: 2}, {},
	})
}

func exampleEntry() catlg.Entry {
	return catlg.Entry{
		Name: "plan", Owner: "o", Class: catlg.Urgent, Service: "s", Version: 4,
		Limits: catlg.Limits{Tasks: 3, Running: 4, Rate: 5, Timeout: time.Second},
	}
}

func TestRowsRoundTrip(t *testing.T) {
	value, err := EncodeRoster(exampleRoster())
	if err != nil {
		t.Fatal(err)
	}
	if got, err := DecodeRoster(value); err != nil || !reflect.DeepEqual(got, exampleRoster()) {
		t.Errorf("got %+v, %v", got, err)
	}
	value, err = EncodeEntry(exampleEntry())
	if err != nil {
		t.Fatal(err)
	}
	if got, err := DecodeEntry(value); err != nil || got != exampleEntry() {
		t.Errorf("got %+v, %v", got, err)
	}
	edit := Edit{ID: "x", Time: time.UnixMilli(5), Entry: exampleEntry()}
	value, err = EncodeEdit(edit)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := DecodeEdit(value); err != nil || got != edit {
		t.Errorf("got %+v, %v", got, err)
	}
}

func TestMalformedRostersAreRejected(t *testing.T) {
	for _, text := range []string{
		``, `[]`, `{}`, `{"epoch":1}`, `{"epoch":0,"shards":[[0,0,0]]}`,
		`{"epoch":1,"shards":[[1,1,0]]}`, `{"epoch":1,"shards":[[0,2,0]]}`,
		`{"epoch":1,"shards":[[0,0,0]],"nodes":[{"id":"A","inc":1}]}`,
		`{"epoch":1,"shards":[[0,0,0]],"nodes":[{"id":"a","inc":0}]}`,
		`{"epoch":1,"shards":[[0,0,0]],"nodes":[{"id":"a","inc":1},{"id":"a","inc":2}]}`,
	} {
		if _, err := DecodeRoster([]byte(text)); err == nil {
			t.Errorf("malformed roster %s was accepted", text)
		}
	}
}

func FuzzRows(f *testing.F) {
	value, err := EncodeRoster(exampleRoster())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(value)
	f.Add([]byte(`{"name":"plan","owner":"o","class":"urgent","service":"s","limits":{"tasks":-1}}`))
	f.Fuzz(func(t *testing.T, value []byte) {
		if r, err := DecodeRoster(value); err == nil {
			r.With(roster.Change{Kind: roster.Join, Node: roster.Node{Ref: roster.Ref{ID: "z", Inc: 1}}})
		}
		if e, err := DecodeEntry(value); err == nil && e.Validate() != nil {
			t.Errorf("an invalid entry was accepted: %+v", e)
		}
		_, _ = DecodeHead(value)
		_, _ = DecodeEdit(value)
	})
}
