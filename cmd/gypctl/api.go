package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/gypsumlanding/gypsumlanding/internal/daem/life"
	"github.com/gypsumlanding/gypsumlanding/internal/entry/web"
)

const callTimeout = 10 * time.Second

type codeKey struct{}

// fail returns an error that ends the program with the given code.
func fail(code int, text string) error {
	return merry.New(text, merry.WithValue(codeKey{}, code))
}

func exitCode(err error) int {
	if err == nil {
		return life.ExitOK
	}
	if code, ok := merry.Value(err, codeKey{}).(int); ok {
		return code
	}
	return life.ExitFailed
}

// call makes one request to the entry and reads its JSON into reply.
func (t *tool) call(ctx context.Context, method, path string, body, reply any) error {
	if t.entry == "" {
		return fail(life.ExitUsage, "no entry given: use -entry IP:port or set GYP_ENTRY")
	}
	client, err := khttp.NewClient(ctx, khttp.WithEndpoint(t.entry), khttp.WithTimeout(callTimeout),
		khttp.WithErrorDecoder(func(context.Context, *http.Response) error { return nil }))
	if err != nil {
		return err
	}
	text, err := json.Marshal(body)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+t.entry+path, bytes.NewReader(text))
	if err != nil {
		return err
	}
	resp, err := client.Do(req)
	if err != nil {
		return merry.Prepend(err, "the entry did not answer; try another")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode >= http.StatusMultipleChoices {
		return refusal(resp)
	}
	return json.NewDecoder(resp.Body).Decode(reply)
}

// refusal returns what an entry said against a request, and what to do next.
func refusal(resp *http.Response) error {
	var doc web.ErrorDoc
	if err := json.NewDecoder(resp.Body).Decode(&doc); err != nil || doc.Error == "" {
		return fail(life.ExitFailed, fmt.Sprintf("the entry answered with status %d", resp.StatusCode))
	}
	text := doc.Field + ": " + doc.Error
	switch resp.StatusCode {
	case http.StatusConflict:
		return fail(exitChanged, text+"; get the entry, look at what changed, and put again with its version")
	case http.StatusNotFound:
		return fail(exitNotFound, text)
	case http.StatusGatewayTimeout:
		return fail(exitOpen, text)
	case http.StatusBadRequest:
		return fail(life.ExitUsage, text)
	}
	return fail(life.ExitFailed, text)
}

// show prints a document as JSON, or by the given function.
func (t *tool) show(doc any, print func()) error {
	if !t.json {
		print()
		return nil
	}
	enc := json.NewEncoder(t.out)
	enc.SetIndent("", "  ")
	return enc.Encode(doc)
}
