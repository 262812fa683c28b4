package main

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// engine is one life of an engine of an application service.
type engine struct {
	record  *recorder
	id      string
	service string
	zone    string
	address string
	slots   int
	work    time.Duration
	server  *http.Server
	// unframed decides whether the answer to a run has no length and ends with its connection.
	unframed func() bool
	mutex    sync.Mutex
	// runs counts the runs by the id of the request.
	runs    map[string]int
	running atomic.Int64
}

func randomHex(size int) string {
	buffer := make([]byte, size)
	_, _ = rand.Read(buffer)
	return hex.EncodeToString(buffer)
}

// startEngine starts an engine and shows it on the list.
func (w *world) startEngine(service, zone, host string, slots int, work time.Duration) (*engine, error) {
	listener, err := net.Listen("tcp4", host+":0")
	if err != nil {
		return nil, err
	}
	e := &engine{
		record: w.record, id: "i-" + randomHex(4), service: service, zone: zone,
		address: listener.Addr().String(), slots: slots, work: work, runs: map[string]int{},
	}
	e.server = &http.Server{Handler: e, IdleTimeout: 5 * time.Second}
	go func() { _ = e.server.Serve(listener) }()
	w.platform.put(e.id, e.entry("ready"), 0)
	w.record.write("engine %s of %s in %s starts at %s", e.id, service, zone, e.address)
	return e, nil
}

func (e *engine) entry(state string) map[string]any {
	return map[string]any{
		"id": e.id, "service": e.service, "address": e.address, "zone": e.zone, "version": "v1",
		"slots": e.slots, "state": state, names["warm"]: 0,
	}
}

// answerBody is the whole body of the answer to a request.
func answerBody(id, requestID string, body []byte) string {
	sum := sha256.Sum256(body)
	return fmt.Sprintf("answer of %s to %s, asked with %x.\n%s\n", id, requestID, sum[:8], strings.Repeat("0123456789", 80))
}

func (e *engine) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	requestID := request.Header.Get(names["id"])
	header := writer.Header()
	header.Set(names["id"], requestID)
	header.Set("Keep-Alive", "timeout=5")
	if wanted := request.Header.Get(names["expected"]); wanted != "" && wanted != e.id {
		header.Set(names["notrun"], "1")
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if requestID == "" {
		header.Set(names["notrun"], "1")
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	if e.running.Add(1) > int64(e.slots) {
		e.running.Add(-1)
		header.Set(names["notrun"], "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer e.running.Add(-1)
	e.mutex.Lock()
	e.runs[requestID]++
	e.mutex.Unlock()
	unframed := e.unframed != nil && e.unframed()
	e.record.write("engine %s runs %s %s %s", e.id, requestID, request.Method, request.RequestURI)
	time.Sleep(e.work)
	text := answerBody(e.id, requestID, body)
	if !unframed {
		header.Set(names["seal"], e.id+"."+requestID)
		header.Set("Content-Type", "text/plain")
		header.Set("Content-Length", fmt.Sprint(len(text)))
		_, _ = io.WriteString(writer, text)
		e.record.write("engine %s has answered %s: 200, with a length", e.id, requestID)
		return
	}
	e.answerUnframed(writer, requestID, text)
}

// answerUnframed sends a whole answer without a length, and ends it with the end of its connection.
func (e *engine) answerUnframed(writer http.ResponseWriter, requestID, text string) {
	conn, buffer, err := writer.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	fmt.Fprintf(buffer, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s.%s\r\nContent-Type: text/plain\r\nConnection: close\r\n\r\n%s",
		names["id"], requestID, names["seal"], e.id, requestID, text)
	if buffer.Flush() != nil {
		return
	}
	// The connection ends in order: all bytes, then the end of the stream, and no reset.
	_ = conn.(*net.TCPConn).CloseWrite()
	e.record.write("engine %s has answered %s: 200, whole, without a length; the connection ended in order", e.id, requestID)
	_ = conn.SetReadDeadline(time.Now().Add(time.Second))
	_, _ = io.Copy(io.Discard, conn)
}

// stop ends the engine.
func (e *engine) stop() { _ = e.server.Close() }
