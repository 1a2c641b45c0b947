package life

import (
	"context"
	"sync"

	"github.com/go-kratos/kratos/v2/transport"
)

// countedServer is a server that tells when it is closed.
type countedServer struct {
	transport.Server
	open *sync.WaitGroup // counts the servers that are not closed yet
}

// Stop closes the server.
func (s countedServer) Stop(ctx context.Context) error {
	defer s.open.Done()
	return s.Server.Stop(ctx)
}

// lastServer is a server that is closed when others are.
type lastServer struct {
	transport.Server
	othersClosed <-chan struct{}
}

// Stop closes the server once the others are closed, or ctx ends.
func (s lastServer) Stop(ctx context.Context) error {
	select {
	case <-s.othersClosed:
	case <-ctx.Done():
	}
	return s.Server.Stop(ctx)
}

// servers returns Servers and Last, which is closed when they are.
func (d Daemon) servers() []transport.Server {
	if d.Last == nil {
		return d.Servers
	}
	var open sync.WaitGroup
	closed := make(chan struct{})
	servers := []transport.Server{lastServer{d.Last, closed}}
	for _, s := range d.Servers {
		open.Add(1)
		servers = append(servers, countedServer{s, &open})
	}
	go func() {
		open.Wait()
		close(closed)
	}()
	return servers
}
