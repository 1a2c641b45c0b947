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

// Back is the second process of the bare chain: net/rpc before HTTP.
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

// serveChain serves one process of the bare chain.
func serveChain(role, addr, next string) error {
	if role == "back" {
		return serveBack(addr, next)
	}
	return serveFront(addr, next)
}

func serveBack(addr, next string) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	srv := rpc.NewServer()
	transport := &http.Transport{MaxIdleConnsPerHost: fullCallers}
	if err := srv.Register(&Back{client: &http.Client{Transport: transport}, url: "http://" + next + "/v1/run"}); err != nil {
		return err
	}
	srv.Accept(ln)
	return nil
}

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
