package platformport

import (
	"context"
	"net/http"
)

// The kinds of calls that one daemon of the fleet makes at a time.
const (
	// SingletonUsage reports the usage of a window. All windows form one subject.
	SingletonUsage = "usage"
	// SingletonCapacity orders the number of engines of a service in a zone, which form a subject.
	SingletonCapacity = "capacity"
)

// UsageReport is the usage of all tenants in a window.
type UsageReport struct {
	Window uint64
	// Counts are the requests that began to run in the window, by tenant.
	Counts map[string]uint64
}

// CapacityOrder is the wanted number of engines of a service in a zone.
type CapacityOrder struct {
	Service string
	Zone    string
	Engines int
}

// SingletonCall is one call to the platform by the daemon that may make it.
type SingletonCall struct {
	// Kind is SingletonUsage or SingletonCapacity.
	Kind string
	// LeaseHolder names the calling daemon, and Term is the one in which it holds the lease.
	LeaseHolder string
	Term        uint64
	// Body is an encoded UsageReport or CapacityOrder, which is sent unchanged.
	Body []byte
}

// Judgement is what the answer to a call means.
type Judgement int

// The judgements.
const (
	// JudgementRetry means that the call may have been accepted or not, or that the platform asks for another
	// try: the same call has to be made again.
	JudgementRetry Judgement = iota
	// JudgementAccepted means that the platform has accepted the call.
	JudgementAccepted
	// JudgementRefused means that the platform will never accept this body.
	JudgementRefused
)

// SingletonCalls makes the calls that one daemon of the fleet makes at a time. The encodings are
// deterministic.
type SingletonCalls interface {
	EncodeUsage(UsageReport) []byte
	EncodeCapacity(CapacityOrder) []byte
	// DecodeCapacity decodes what EncodeCapacity has encoded. Its error has the code MalformedMessage.
	DecodeCapacity(body []byte) (CapacityOrder, error)
	// Send makes a call through a client that checks the lease at each write, and never makes it twice by
	// itself. The error says why the call was not accepted; it is nil only with JudgementAccepted.
	Send(ctx context.Context, client *http.Client, call SingletonCall) (Judgement, error)
}
