package guard

const (
	// maxFiles descriptors are kept for files, timers and standard streams; with a small limit,
	// one in filesShare.
	maxFiles   = 200
	filesShare = 5

	// memoryShare is the part of the memory that bodies in flight may use, and likewise calls
	// between processes: one in memoryShare of the whole. Half of the memory is left for jobs and
	// for garbage that has not been collected.
	memoryShare = 8
	// connsPerMB bounds callers' connections by memory. A connection in use holds up to 50 KB:
	// two buffers, two stacks, a header, a body that needs no reservation and its job. At 7
	// connections for each MB that is a third of the memory.
	connsPerMB = 7
	// callsPerMB bounds the calls in progress of other processes. One costs about 3 KB, its
	// goroutine and argument, so that all take a tenth of the memory.
	callsPerMB = 32

	minPeerConns = 32
	minAuxConns  = 8
)

// Sizes are the limits of one process.
type Sizes struct {
	ClientConns int   // connections of callers, or of targets that send heartbeats
	PeerConns   int   // connections of other processes
	AuxConns    int   // connections at each port for metrics or readiness checks
	Calls       int   // calls of other processes in progress
	Bytes       int64 // of bodies in flight; also the bound for calls between processes, apart from these
}

// SizesFor returns the limits of a process that may use the given memory and number of
// descriptors. Of the descriptors that are not kept for files, 5 in 8 are for clients, 1 in 8 for
// other processes and 1 in 32 for each port beside these. The rest remains for connections that
// the process opens. A value of 0 is unknown and bounds nothing.
func SizesFor(memoryMB, maxFDs int) Sizes {
	s := Sizes{Bytes: int64(memoryMB) << 20 / memoryShare, ClientConns: memoryMB * connsPerMB, Calls: memoryMB * callsPerMB}
	if maxFDs <= 0 {
		return s
	}
	sockets := maxFDs - min(maxFiles, maxFDs/filesShare)
	s.PeerConns = max(sockets/8, minPeerConns)
	s.AuxConns = max(sockets/32, minAuxConns)
	if clients := sockets * 5 / 8; s.ClientConns == 0 || clients < s.ClientConns {
		s.ClientConns = clients
	}
	return s
}
