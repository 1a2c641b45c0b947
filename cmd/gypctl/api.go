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

// callTimeout bounds a request to an entry.
const callTimeout = 10 * time.Second

// exitCodeKey is the key of the exit code among the values of an error.
type exitCodeKey struct{}

// errorWithCode returns an error that makes the program exit with the given code.
func errorWithCode(code int, text string) error {
	return merry.New(text, merry.WithValue(exitCodeKey{}, code))
}

// exitCode returns the exit code for the result of a command: life.ExitOK for nil, and
// life.ExitFailed for an error without a code.
func exitCode(err error) int {
	if err == nil {
		return life.ExitOK
	}
	if code, ok := merry.Value(err, exitCodeKey{}).(int); ok {
		return code
	}
	return life.ExitFailed
}

// call sends one request to the entry, with body encoded as JSON, and decodes the JSON
// answer into reply. An answer that reports an error becomes an error with the exit code
// for its status.
func (t *tool) call(ctx context.Context, method, path string, body, reply any) error {
	if t.entryAddr == "" {
		return errorWithCode(life.ExitUsage, "no entry given: use -entry IP:port or set GYP_ENTRY")
	}
	client, err := khttp.NewClient(ctx, khttp.WithEndpoint(t.entryAddr), khttp.WithTimeout(callTimeout),
		khttp.WithErrorDecoder(func(context.Context, *http.Response) error { return nil }))
	if err != nil {
		return err
	}
	text, err := json.Marshal(body)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+t.entryAddr+path, bytes.NewReader(text))
	if err != nil {
		return err
	}
	resp, err := client.Do(req)
	if err != nil {
		return merry.Prepend(err, "the entry did not answer; try another")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode >= http.StatusMultipleChoices {
		return responseError(resp)
	}
	return json.NewDecoder(resp.Body).Decode(reply)
}

// responseError returns the error that an entry answered a request with, for a conflict
// together with what the operator can do, and with the exit code for the status.
func responseError(resp *http.Response) error {
	var doc web.ErrorDoc
	if err := json.NewDecoder(resp.Body).Decode(&doc); err != nil || doc.Error == "" {
		return errorWithCode(life.ExitFailed, fmt.Sprintf("the entry answered with status %d", resp.StatusCode))
	}
	text := doc.Field + ": " + doc.Error
	switch resp.StatusCode {
	case http.StatusConflict:
		return errorWithCode(exitConflict, text+"; get the entry, review what has changed, and put it again with its current version")
	case http.StatusNotFound:
		return errorWithCode(exitNotFound, text)
	case http.StatusGatewayTimeout:
		return errorWithCode(exitInDoubt, text)
	case http.StatusBadRequest:
		return errorWithCode(life.ExitUsage, text)
	}
	return errorWithCode(life.ExitFailed, text)
}

// printResult writes a document as JSON if the flag -json is set, and otherwise calls
// print.
func (t *tool) printResult(doc any, print func()) error {
	if !t.jsonOutput {
		print()
		return nil
	}
	enc := json.NewEncoder(t.stdout)
	enc.SetIndent("", "  ")
	return enc.Encode(doc)
}
