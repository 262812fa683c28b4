package platformport

import (
	"context"
	"net/http"
)

// Kinds of singleton calls, which only one daemon of the fleet makes at a time.
const (
	// SingletonUsage reports the usage of one time window. All windows form a single outbox subject.
	SingletonUsage = "usage"
	// SingletonCapacity requests a number of engines for a service in a zone. Each pair of service
	// and zone is an outbox subject.
	SingletonCapacity = "capacity"
)

// UsageReport is the usage of all tenants in one time window.
type UsageReport struct {
	Window uint64
	// Counts is the number of requests that started to run in the window, by tenant.
	Counts map[string]uint64
}

// CapacityOrder is the desired number of engines of a service in a zone.
type CapacityOrder struct {
	Service string
	Zone    string
	Engines int
}

// SingletonCall is one call to the platform by the daemon that holds the lease for it.
type SingletonCall struct {
	// Kind is SingletonUsage or SingletonCapacity.
	Kind string
	// LeaseHolder is the name of the calling daemon. Term is the term in which it holds the lease.
	LeaseHolder string
	Term        uint64
	// Body is an encoded UsageReport or CapacityOrder. It is sent unchanged.
	Body []byte
}

// Judgement classifies the platform's response to a singleton call.
type Judgement int

// Judgements of a response.
const (
	// JudgementRetry means that the same call must be made again: either it is unknown whether the
	// platform accepted the call, or the platform asked for a retry.
	JudgementRetry Judgement = iota
	// JudgementAccepted means that the platform has accepted the call.
	JudgementAccepted
	// JudgementRefused means that the platform will never accept the call's body.
	JudgementRefused
)

// SingletonCalls encodes and sends the calls that only one daemon of the fleet makes at a time.
// The encodings are deterministic.
type SingletonCalls interface {
	EncodeUsage(UsageReport) []byte
	EncodeCapacity(CapacityOrder) []byte
	// DecodeCapacity decodes the result of EncodeCapacity. Its error has the code
	// errcode.MalformedMessage.
	DecodeCapacity(body []byte) (CapacityOrder, error)
	// Send makes a call through a client that checks the lease before each write. Send never
	// retries the call. The error says why the call was not accepted; it is nil only with
	// JudgementAccepted.
	Send(ctx context.Context, client *http.Client, call SingletonCall) (Judgement, error)
}
