// Package engineapi holds the requests and answers of a prefill or decode engine, as JSON over
// HTTP/1.1: what routers and the leader of a service send, and what engines answer.
package engineapi

import "coursepass/internal/clock"

// Paths of an engine, HTTP/1.1 with JSON.
const (
	ReportPath   = "/report"
	CommandPath  = "/order"
	PrefillPath  = "/prefill"
	DecodePath   = "/decode"
	TransferPath = "/handover"
	CancelPath   = "/cancel"
)

// StageVoid is the stage of a decode that never had its prompt memory.
const StageVoid = "void"

// RunningHeader tells how many runs the engine has, on each of its answers.
const RunningHeader = "Engine-Running"

// PrefillRequest has an engine read a prompt.
type PrefillRequest struct {
	Run          string             `json:"run"`
	Key          string             `json:"key"`
	Service      string             `json:"service"`
	Version      string             `json:"version"`
	Prefix       string             `json:"prefix"`
	PrefixTokens int                `json:"prefixTokens"`
	Prompt       string             `json:"prompt"`
	Timeout      clock.Microseconds `json:"budgetMicroseconds"`
}

// Ticket names prompt memory: random, bound to run, engine life and digest.
type Ticket struct {
	Run         string `json:"run"`
	Ticket      string `json:"ticket"`
	Incarnation string `json:"incarnation"`
	Digest      string `json:"digest"`
	Version     string `json:"version"`
}

// DecodeRequest has an engine make tokens from the prompt memory of a ticket.
type DecodeRequest struct {
	Ticket
	Key     string             `json:"key"`
	Service string             `json:"service"`
	Source  string             `json:"source"`
	Tokens  int                `json:"tokens"`
	Timeout clock.Microseconds `json:"budgetMicroseconds"`
}

// Frame is one line of a decode's answer. The first echoes the ticket, the last
// has Final and the count.
type Frame struct {
	Ticket *Ticket `json:"ticket,omitempty"`
	Run    string  `json:"run"`
	Number int     `json:"number,omitempty"`
	Text   string  `json:"text,omitempty"`
	Final  bool    `json:"final,omitempty"`
	Count  int     `json:"count,omitempty"`
	Code   int     `json:"code,omitempty"`
}

// TransferRequest is what a decode engine asks of a prefill engine.
type TransferRequest struct{ Ticket }

// KVCache is the prompt memory that is handed over.
type KVCache struct {
	Ticket
	Content string `json:"content"`
}

// CancelRequest ends a run by name.
type CancelRequest struct {
	Run string `json:"run"`
}
