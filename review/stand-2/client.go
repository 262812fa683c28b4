package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"time"
)

// client is a client that keeps its connection for many requests.
type client struct {
	record *recorder
	front  string
	http   *http.Client
}

func newClient(record *recorder, front string) *client {
	transport := &http.Transport{DisableCompression: true, MaxConnsPerHost: 1, MaxIdleConnsPerHost: 1}
	return &client{record: record, front: front, http: &http.Client{Transport: transport}}
}

// reply is what a client saw of one try.
type reply struct {
	id string
	// kept is set if the connection had carried a request before.
	kept bool
	// status is 0 if there was no head of an answer.
	status int
	seal   string
	body   []byte
	// err says why the answer is not complete, nil if it is.
	err error
}

// send sends one try with an id of its own.
func (c *client) send(host, path string, body []byte, limit time.Duration) reply {
	result := reply{id: randomHex(8)}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { result.kept = info.Reused }}
	request, err := http.NewRequestWithContext(
		httptrace.WithClientTrace(ctx, trace), http.MethodPost, "http://"+c.front+path, bytes.NewReader(body))
	if err != nil {
		result.err = err
		return result
	}
	request.GetBody = nil
	request.Host = host
	request.Header.Set(names["id"], result.id)
	request.Header.Set(names["timeleft"], fmt.Sprint(limit.Milliseconds()))
	response, err := c.http.Do(request)
	if err != nil {
		result.err = err
		c.record.write("client of %s: %s (kept connection: %t): no answer: %v", c.front, result.id, result.kept, err)
		return result
	}
	defer response.Body.Close()
	result.status, result.seal = response.StatusCode, response.Header.Get(names["seal"])
	result.body, result.err = io.ReadAll(response.Body)
	if result.err != nil {
		c.record.write("client of %s: %s (kept connection: %t): status %d, and the connection ended after %d bytes of the body: %v",
			c.front, result.id, result.kept, result.status, len(result.body), result.err)
		return result
	}
	c.record.write("client of %s: %s (kept connection: %t): status %d, complete, %d bytes",
		c.front, result.id, result.kept, result.status, len(result.body))
	return result
}
