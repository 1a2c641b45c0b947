package boot_test

import (
	"fmt"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
)

func ExampleBackoff() {
	b := boot.Backoff{Min: 100 * time.Millisecond, Max: 500 * time.Millisecond}
	fmt.Println(b.Next(), b.Next(), b.Next(), b.Next(), b.Next())
	b.Reset()
	fmt.Println(b.Next())
	// Output:
	// 100ms 200ms 400ms 500ms 500ms
	// 100ms
}
