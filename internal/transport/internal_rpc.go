package transport

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"

	"connectrpc.com/connect"

	"coursepass/internal/clock"
	"coursepass/internal/errcode"
	"coursepass/internal/metrics/resources"
	"coursepass/internal/topology"
)

const (
	// fleetHeader is the HTTP header with the name of the sender's fleet.
	fleetHeader     = "Coursepass-Fleet"
	maxMessageBytes = 32 << 20
	// compressMinBytes is the size from which on a message is compressed: below it, compression
	// costs more processor time than it saves in bytes.
	compressMinBytes = 2048
)

// Internal is a daemon's endpoint for calls from and to other daemons of its fleet. It is an
// HTTP handler. All procedures must be registered before it is served.
type Internal struct {
	Fleet   string
	Meter   *topology.TrafficMeter
	Network Network
	// ForeignRequests counts requests of other fleets, which were rejected.
	ForeignRequests atomic.Int64
	// MalformedRequests counts requests that could not be read or name no procedure.
	MalformedRequests atomic.Int64
	// SelfDescribingCalls counts calls that sent their schema.
	SelfDescribingCalls atomic.Int64
	schemas             *schemaCache
	client              *http.Client
	// callers maps an address with a procedure (string) to its *procedureClient.
	callers sync.Map
	mux     *http.ServeMux
	// served has the counters of the procedures that are registered here, by path, and other those of
	// requests that name none of them.
	served map[string]*resources.Procedure
	other  *resources.Procedure
}

// NewInternal returns the endpoint of a daemon of the fleet.
func NewInternal(fleet string, meter *topology.TrafficMeter, network Network) *Internal {
	return &Internal{
		Fleet:   fleet,
		Meter:   meter,
		Network: network,
		schemas: newSchemaCache(),
		mux:     http.NewServeMux(),
		client: &http.Client{
			Transport: leanTransport{NewHTTPTransport(Options{Network: network, Meter: meter})},
		},
		served: map[string]*resources.Procedure{},
		other:  meter.Resources.Procedure(resources.Server, resources.ProcedureOther),
	}
}

// ServeHTTP rejects requests of other fleets, answers all others, and counts both those that it
// rejects and those that can't be read.
func (i *Internal) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if request.Header.Get(fleetHeader) != i.Fleet {
		countServed(request, i.other)
		i.ForeignRequests.Add(1)
		http.Error(writer, errcode.ForeignFleet.String(), http.StatusForbidden)
		return
	}
	countServed(request, i.procedureOf(request))
	recorder := &leanRecorder{ResponseWriter: writer}
	i.mux.ServeHTTP(recorder, request)
	switch recorder.status {
	case http.StatusBadRequest,
		http.StatusNotFound,
		http.StatusUnsupportedMediaType,
		http.StatusMethodNotAllowed,
		http.StatusInternalServerError:
		i.MalformedRequests.Add(1)
	}
}

// procedureOf returns the counters of the procedure that a request names.
func (i *Internal) procedureOf(request *http.Request) *resources.Procedure {
	if procedure, registered := i.served[request.URL.Path]; registered {
		return procedure
	}
	return i.other
}

// Handle registers the function that answers a procedure. An error that the function returns is
// sent with connect's code "aborted"; a panic is answered with an internal error.
func Handle[Request, Response any](
	internal *Internal, procedure string, answer func(context.Context, *Request) (*Response, error),
) {
	handle := func(ctx context.Context, request *connect.Request[Request]) (*connect.Response[Response], error) {
		response, err := answer(ctx, request.Msg)
		if err != nil {
			return nil, connect.NewError(connect.CodeAborted, err)
		}
		return connect.NewResponse(response), nil
	}
	recoverPanic := func(context.Context, connect.Spec, http.Header, any) error {
		return connect.NewError(connect.CodeInternal, errcode.New(errcode.MalformedMessage, "%s", procedure))
	}
	internal.served[procedure] = internal.Meter.Resources.Procedure(resources.Server, procedure)
	internal.mux.Handle(procedure, connect.NewUnaryHandler(procedure, handle,
		connect.WithCodec(selfDescribingCodec{internal.schemas}),
		connect.WithCodec(schemaHashCodec{internal.schemas}),
		connect.WithReadMaxBytes(maxMessageBytes),
		connect.WithCompressMinBytes(compressMinBytes),
		connect.WithRecover(recoverPanic),
	))
}

// Target is what a call is for.
type Target struct {
	// Address is the internal address of the daemon.
	Address string
	// Procedure is the path of the procedure.
	Procedure string
	// Timeout is the longest that the call may take.
	Timeout clock.Microseconds
}

// Call calls a procedure of another daemon. Every failure, also an error that the procedure
// returned, is a ConnectionLost error. A call that failed may have been executed.
func Call[Request, Response any](
	parent context.Context, internal *Internal, target Target, message *Request,
) (*Response, error) {
	boundedCtx, cancel := context.WithTimeout(parent, target.Timeout.Duration())
	defer cancel()
	key := target.Address + target.Procedure
	cached, known := internal.callers.Load(key)
	if !known {
		cached, _ = internal.callers.LoadOrStore(key, newProcedureClient[Request, Response](internal, target))
	}
	internal.Meter.Calls.Add(1)
	response, err := cached.(*procedureClient[Request, Response]).call(boundedCtx, internal, message)
	if err != nil {
		return nil, errcode.Wrap(err, errcode.ConnectionLost, key)
	}
	return response, nil
}

// procedureClient calls one procedure at one address. It sends self-describing messages until
// an answer has shown that both sides have cached each other's schemas, and again when one side
// has forgotten them. Only a request that the other side reports as unreadable is sent a second
// time, since it was not executed; an answer that can't be decoded here is an error.
type procedureClient[Request, Response any] struct {
	selfDescribing *connect.Client[Request, Response]
	schemaHash     *connect.Client[Request, Response]
	// schemaShared is true while the schema hash is sent in place of the schema.
	schemaShared atomic.Bool
	// usage counts the calls of the procedure, at whatever address.
	usage *resources.Procedure
}

func newProcedureClient[Request, Response any](
	internal *Internal, target Target,
) *procedureClient[Request, Response] {
	url := "http://" + target.Address + target.Procedure
	newClient := func(codec connect.Codec) *connect.Client[Request, Response] {
		return connect.NewClient[Request, Response](internal.client, url,
			connect.WithCodec(codec),
			connect.WithReadMaxBytes(maxMessageBytes),
			connect.WithSendGzip(),
			connect.WithCompressMinBytes(compressMinBytes),
		)
	}
	return &procedureClient[Request, Response]{
		selfDescribing: newClient(selfDescribingCodec{internal.schemas}),
		schemaHash:     newClient(schemaHashCodec{internal.schemas}),
		usage:          internal.Meter.Resources.Procedure(resources.Client, target.Procedure),
	}
}

// call sends the message in the shortest form that the other side can read.
func (p *procedureClient[Request, Response]) call(
	parent context.Context, internal *Internal, message *Request,
) (*Response, error) {
	p.usage.Calls.Add(1)
	ctx := attributeTo(parent, p.usage)
	if p.schemaShared.Load() {
		response, err := callOnce(ctx, internal, p.schemaHash, message)
		if err == nil {
			return response, nil
		}
		p.schemaShared.Store(false)
		if !isUnknownSchema(err) {
			return nil, err
		}
	}
	internal.SelfDescribingCalls.Add(1)
	response, err := callOnce(ctx, internal, p.selfDescribing, message)
	p.schemaShared.Store(err == nil)
	return response, err
}

// isUnknownSchema reports whether the other side did not read a request because it has not
// cached the request's schema.
func isUnknownSchema(err error) bool {
	return connect.IsWireError(err) &&
		connect.CodeOf(err) == connect.CodeInvalidArgument &&
		strings.Contains(err.Error(), unknownSchema)
}

func callOnce[Request, Response any](
	ctx context.Context, internal *Internal, client *connect.Client[Request, Response], message *Request,
) (*Response, error) {
	request := connect.NewRequest(message)
	request.Header().Set(fleetHeader, internal.Fleet)
	response, err := client.CallUnary(ctx, request)
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}
