package fleet

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
)

// Ports are taken from below the range that the system gives to outgoing
// connections, so that none of those holds a port that a process is to bind.
const (
	firstPort = 10_000
	portCount = 20_000
	pidStride = 997
)

var nextPort atomic.Uint32

// freeAddr returns a loopback address that nothing listens on. It panics if
// there is none.
func freeAddr() string {
	start := uint32(os.Getpid() * pidStride)
	for range portCount {
		port := firstPort + (start+nextPort.Add(1))%portCount
		addr := fmt.Sprintf("127.0.0.1:%d", port)
		ln, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		_ = ln.Close()
		return addr
	}
	panic("fleet: no free port")
}

// FreePort returns a port of the loopback address that nothing listens on.
func FreePort() int {
	_, text, _ := strings.Cut(freeAddr(), ":")
	port, err := strconv.Atoi(text)
	if err != nil {
		panic(err)
	}
	return port
}
