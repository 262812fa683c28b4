// Package engineapi holds the messages of the prefill and decode engines that the router's own
// HTTP/JSON interface works with: JSON over HTTP/1.1, sent by routers and by the leader of a
// service, answered by engines.
//
// A router posts a PrefillRequest and receives a Ticket for the KV cache. It posts a
// DecodeRequest with that ticket to a decode engine, which fetches the KV cache from the
// prefill engine with a TransferRequest and streams Frames. A CancelRequest ends a run.
package engineapi

import "coursepass/internal/clock"

// Paths of an engine. They are names on the wire.
const (
	ReportPath   = "/report"
	CommandPath  = "/order"
	PrefillPath  = "/prefill"
	DecodePath   = "/decode"
	TransferPath = "/handover"
	CancelPath   = "/cancel"
)

// StageVoid is the stage, in an engine's run log, of a decode that never received its KV cache.
const StageVoid = "void"

// RunningHeader is the response header with the number of runs that the engine has.
const RunningHeader = "Engine-Running"

// PrefillRequest has an engine read a prompt and keep the KV cache.
type PrefillRequest struct {
	// Run identifies the attempt; each attempt of a request has a run ID of its own.
	Run string `json:"run"`
	// Key is the caller's idempotency key, with the tenant before it.
	Key          string `json:"key"`
	Service      string `json:"service"`
	Version      string `json:"version"`
	Prefix       string `json:"prefix"`
	PrefixTokens int    `json:"prefixTokens"`
	Prompt       string `json:"prompt"`
	// Timeout is how much of the request's time is left.
	Timeout clock.Microseconds `json:"budgetMicroseconds"`
}

// Ticket identifies a KV cache. It holds a random value that is bound to the run, the engine's
// incarnation and the digest of the prompt.
type Ticket struct {
	Run         string `json:"run"`
	Ticket      string `json:"ticket"`
	Incarnation string `json:"incarnation"`
	Digest      string `json:"digest"`
	Version     string `json:"version"`
}

// DecodeRequest has an engine generate tokens from the KV cache of a ticket.
type DecodeRequest struct {
	Ticket
	Key     string `json:"key"`
	Service string `json:"service"`
	// Source is the address of the prefill engine that holds the KV cache.
	Source string `json:"source"`
	// Tokens is the number of tokens to generate.
	Tokens int `json:"tokens"`
	// Timeout is how much of the request's time is left.
	Timeout clock.Microseconds `json:"budgetMicroseconds"`
}

// Frame is one line of a decode's response. The first frame echoes the ticket; the last has Final
// and Count set.
type Frame struct {
	Ticket *Ticket `json:"ticket,omitempty"`
	Run    string  `json:"run"`
	// Number counts the frames with text, from 1.
	Number int    `json:"number,omitempty"`
	Text   string `json:"text,omitempty"`
	Final  bool   `json:"final,omitempty"`
	// Count is the number of frames with text, in the final frame only.
	Count int `json:"count,omitempty"`
	// Code is an error code if the run failed, else zero.
	Code int `json:"code,omitempty"`
}

// TransferRequest is what a decode engine sends to the prefill engine that holds its KV cache.
type TransferRequest struct{ Ticket }

// KVCache is the KV cache that a prefill engine hands over.
type KVCache struct {
	Ticket
	Content string `json:"content"`
}

// CancelRequest ends a run by its ID.
type CancelRequest struct {
	Run string `json:"run"`
}
