package main

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/rpc"

	"github.com/go-kratos/kratos/v2"
	khttp "github.com/go-kratos/kratos/v2/transport/http"
)

// Back is the second process of the bare chain. It serves net/rpc and calls the target by
// HTTP. The first process, which serveFront runs, serves HTTP and calls Back by net/rpc.
type Back struct {
	client *http.Client
	url    string
}

// Run posts the body to the target and returns its answer.
func (b *Back) Run(body []byte, answer *[]byte) error {
	resp, err := b.client.Post(b.url, "application/json", bytes.NewReader(body))
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	*answer, err = io.ReadAll(resp.Body)
	return err
}

// serveChain serves as the process of the bare chain with the given role, front or back.
func serveChain(role, addr, next string) error {
	if role == "back" {
		return serveBack(addr, next)
	}
	return serveFront(addr, next)
}

// serveBack serves the second process, whose target is at next. It does not return unless
// it fails.
func serveBack(addr, next string) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	srv := rpc.NewServer()
	transport := &http.Transport{MaxIdleConnsPerHost: concurrentCalls}
	if err := srv.Register(&Back{client: &http.Client{Transport: transport}, url: "http://" + next + "/v1/run"}); err != nil {
		return err
	}
	srv.Accept(ln)
	return nil
}

// serveFront serves the first process, which calls the second one at next.
func serveFront(addr, next string) error {
	client, err := rpc.Dial("tcp", next)
	if err != nil {
		return err
	}
	srv := khttp.NewServer(khttp.Address(addr), khttp.Timeout(0))
	srv.HandleFunc("/v1/run", func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		var answer []byte
		if err := client.Call("Back.Run", body, &answer); err != nil {
			http.Error(w, err.Error(), http.StatusBadGateway)
			return
		}
		_, _ = w.Write(answer)
	})
	return kratos.New(kratos.Context(context.Background()), kratos.Server(srv)).Run()
}
