// Package engineapi defines the messages of this project's own protocol for prefill and decode
// engines: JSON over HTTP/1.1. Routers and the leader of a service send requests; engines respond.
//
// A router posts a PrefillRequest to a prefill engine and receives a Ticket for the KV cache. The
// router then posts a DecodeRequest with that ticket to a decode engine, which fetches the KV cache
// from the prefill engine with a TransferRequest and streams Frames to the router. A CancelRequest
// cancels a run.
package engineapi

import "coursepass/internal/clock"

// HTTP paths that an engine serves. They are part of the protocol and must not change.
const (
	ReportPath   = "/report"
	CommandPath  = "/order"
	PrefillPath  = "/prefill"
	DecodePath   = "/decode"
	TransferPath = "/handover"
	CancelPath   = "/cancel"
)

// StageVoid is the stage that an engine's run log shows for a decode that never received its KV
// cache.
const StageVoid = "void"

// RunningHeader is the response header that contains the number of active runs of the engine.
const RunningHeader = "Engine-Running"

// PrefillRequest asks an engine to compute the KV cache of a prompt and hold it.
type PrefillRequest struct {
	// Run is the run ID. Each attempt of a request has its own run ID.
	Run string `json:"run"`
	// Key is the caller's idempotency key, prefixed with the tenant.
	Key          string `json:"key"`
	Service      string `json:"service"`
	Version      string `json:"version"`
	Prefix       string `json:"prefix"`
	PrefixTokens int    `json:"prefixTokens"`
	Prompt       string `json:"prompt"`
	// Timeout is the remaining time of the request.
	Timeout clock.Microseconds `json:"budgetMicroseconds"`
}

// Ticket identifies a KV cache by a random value that is bound to the run, the engine's
// incarnation and the digest of the prompt.
type Ticket struct {
	Run         string `json:"run"`
	Ticket      string `json:"ticket"`
	Incarnation string `json:"incarnation"`
	Digest      string `json:"digest"`
	Version     string `json:"version"`
}

// DecodeRequest asks an engine to generate tokens from the KV cache that a ticket identifies.
type DecodeRequest struct {
	Ticket
	Key     string `json:"key"`
	Service string `json:"service"`
	// Source is the address of the prefill engine that holds the KV cache.
	Source string `json:"source"`
	// Tokens is the number of tokens to generate.
	Tokens int `json:"tokens"`
	// Timeout is the remaining time of the request.
	Timeout clock.Microseconds `json:"budgetMicroseconds"`
}

// Frame is one line of the response to a DecodeRequest. The first frame echoes the ticket; the
// last frame has Final and Count set.
type Frame struct {
	Ticket *Ticket `json:"ticket,omitempty"`
	Run    string  `json:"run"`
	// Number is the sequence number of the frame among the frames with text, starting at 1.
	Number int    `json:"number,omitempty"`
	Text   string `json:"text,omitempty"`
	Final  bool   `json:"final,omitempty"`
	// Count is the total number of frames with text. It is set in the final frame only.
	Count int `json:"count,omitempty"`
	// Code is the result code if the run failed, else zero.
	Code int `json:"code,omitempty"`
}

// TransferRequest asks the prefill engine that holds a KV cache to send it. Decode engines send
// it.
type TransferRequest struct{ Ticket }

// KVCache is a prefill engine's response to a TransferRequest.
type KVCache struct {
	Ticket
	Content string `json:"content"`
}

// CancelRequest cancels the run with the given run ID.
type CancelRequest struct {
	Run string `json:"run"`
}
