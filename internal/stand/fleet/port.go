package fleet

import (
	"net"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
)

// Ports are taken from below the range of ephemeral ports, so that no outgoing
// connection occupies a port that a process has been given to listen on.
const (
	firstPort = 10_000
	portCount = 20_000
	pidStride = 997 // offset between the first ports of consecutive process IDs
)

// nextPort counts the ports that this process has tried.
var nextPort atomic.Uint32

// reservationIP is the address on which a process listens at each port that it has chosen, as long as
// it lives, so that other processes of this project choose another one. Nothing connects to it.
const reservationIP = "127.255.255.254"

// reservations are the listeners of this process at reservationIP.
var reservations struct {
	mu        sync.Mutex
	listeners []net.Listener
}

// reserve reserves a port for this process, and reports whether no other one has.
func reserve(port int) bool {
	ln, err := net.Listen("tcp", addrOf(reservationIP, port))
	if err != nil {
		return false
	}
	reservations.mu.Lock()
	defer reservations.mu.Unlock()
	reservations.listeners = append(reservations.listeners, ln)
	return true
}

// isFree reports whether nothing listens on a port at 127.0.0.1.
func isFree(port int) bool {
	ln, err := net.Listen("tcp", addrOf("127.0.0.1", port))
	if err != nil {
		return false
	}
	_ = ln.Close()
	return true
}

func addrOf(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }

// FreePort returns a port that nothing listens on at 127.0.0.1, and that no other process of this
// project chooses while this one lives. It panics if there is none.
func FreePort() int {
	offset := uint32(os.Getpid() * pidStride)
	for range portCount {
		port := firstPort + int((offset+nextPort.Add(1))%portCount)
		if reserve(port) && isFree(port) {
			return port
		}
	}
	panic("fleet: no free port")
}

// freeAddr returns an address on 127.0.0.1 with a free port.
func freeAddr() string { return addrOf("127.0.0.1", FreePort()) }
