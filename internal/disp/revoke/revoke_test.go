package revoke

import (
	"fmt"
	"testing"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/msgs"
)

func ExampleTable_Refuses() {
	var t Table
	now := boot.Time(time.Hour)
	t.Add("j", msgs.Sender{Entry: "e1", Incarnation: 1}, now)
	later := now.Add(time.Second)
	fmt.Println(t.Refuses("j", msgs.Sender{Entry: "e1", Incarnation: 1}, later))
	fmt.Println(t.Refuses("j", msgs.Sender{Entry: "e1", Incarnation: 2}, later))
	fmt.Println(t.Refuses("j", msgs.Sender{Entry: "e2", Incarnation: 1}, now.Add(Retention)))
	// Output:
	// 0s false
	// 1s true
	// 0s false
}

func TestNewerRevocationReplacesTheOlder(t *testing.T) {
	var table Table
	now := boot.Time(time.Hour)
	table.Add("j", msgs.Sender{Entry: "e1"}, now)
	table.Add("j", msgs.Sender{Entry: "e2"}, now.Add(time.Second))
	if _, refuses := table.Refuses("j", msgs.Sender{Entry: "e2"}, now.Add(time.Second)); refuses {
		t.Error("the entry of the newer revocation is refused")
	}
	if d, refuses := table.Refuses("j", msgs.Sender{Entry: "e1"}, now.Add(3*time.Second)); !refuses || d != 2*time.Second {
		t.Errorf("the entry of the older one: got %v, %v", d, refuses)
	}
	table.Forget(now.Add(time.Second + Retention))
	if len(table.jobs) != 0 {
		t.Error("an expired revocation is kept")
	}
}
