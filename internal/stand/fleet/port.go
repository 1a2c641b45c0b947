package fleet

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
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

// freeAddr returns an address on 127.0.0.1 that nothing listens on. It panics if
// there is none.
func freeAddr() string {
	offset := uint32(os.Getpid() * pidStride)
	for range portCount {
		port := firstPort + (offset+nextPort.Add(1))%portCount
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

// FreePort returns a port that nothing listens on at 127.0.0.1. It panics if there
// is none.
func FreePort() int {
	_, text, _ := strings.Cut(freeAddr(), ":")
	port, err := strconv.Atoi(text)
	if err != nil {
		panic(err)
	}
	return port
}
