package fleet

import (
	"net"
	"testing"
)

// Two test processes chose the same port, since each had found that nothing listened on it yet.
func TestPortOfAnotherProcessIsNotChosen(t *testing.T) {
	const reserved = 5 // ports, the next ones to be tried
	first := FreePort() + 1
	for port := first; port < first+reserved; port++ {
		ln, err := net.Listen("tcp", addrOf(reservationIP, port))
		if err != nil {
			continue // reserved by another process indeed
		}
		defer func() { _ = ln.Close() }()
	}
	if got := FreePort(); got >= first && got < first+reserved {
		t.Errorf("got %d, which another process has chosen", got)
	}
	if reserve(first) {
		t.Error("a port was reserved twice")
	}
}
