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
	fleetHeader = "Coursepass-Fleet"
	// maxMessageBytes is the maximum size of a received message; larger messages are rejected.
	maxMessageBytes = 32 << 20
	// compressMinBytes is the minimum size in bytes of a message that is compressed. For smaller
	// messages, the bytes saved aren't worth the processor time.
	compressMinBytes = 2048
)

// Internal is a daemon's endpoint for calls from and to other daemons of its fleet. It is the HTTP
// handler of incoming calls. All procedures must be registered before it is served.
type Internal struct {
	Fleet   string
	Meter   *topology.TrafficMeter
	Network Network
	// ForeignRequests counts requests that were rejected because they came from another fleet.
	ForeignRequests atomic.Int64
	// MalformedRequests counts requests that could not be decoded, name no registered procedure, or were
	// answered with an internal error.
	MalformedRequests atomic.Int64
	// SelfDescribingCalls counts outgoing calls whose request contained its schema.
	SelfDescribingCalls atomic.Int64
	schemas             *schemaCache
	client              *http.Client
	// procedureClients maps an address followed by a procedure's path (a string) to a *procedureClient.
	procedureClients sync.Map
	mux              *http.ServeMux
	// procedureUsage holds the counters of the registered procedures, by path.
	procedureUsage map[string]*resources.Procedure
	// otherUsage counts the requests of other fleets and those that name no registered procedure.
	otherUsage *resources.Procedure
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
			Transport: headerStrippingTransport{NewHTTPTransport(Options{Network: network, Meter: meter})},
		},
		procedureUsage: map[string]*resources.Procedure{},
		otherUsage:     meter.Resources.Procedure(resources.Server, resources.ProcedureOther),
	}
}

// ServeHTTP rejects requests of other fleets and passes all others to their procedures. It counts rejected
// requests in ForeignRequests and malformed ones in MalformedRequests.
func (i *Internal) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if request.Header.Get(fleetHeader) != i.Fleet {
		countServed(request, i.otherUsage)
		i.ForeignRequests.Add(1)
		http.Error(writer, errcode.ForeignFleet.String(), http.StatusForbidden)
		return
	}
	countServed(request, i.usageOf(request))
	recorder := &headerStrippingWriter{ResponseWriter: writer}
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

// usageOf returns the counters of the procedure that a request names, or the counters of other requests
// if no such procedure is registered.
func (i *Internal) usageOf(request *http.Request) *resources.Procedure {
	if procedure, registered := i.procedureUsage[request.URL.Path]; registered {
		return procedure
	}
	return i.otherUsage
}

// Handle registers the function that serves a procedure. An error that the function returns is sent with
// connect's code "aborted"; a panic is answered with connect's code "internal".
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
	internal.procedureUsage[procedure] = internal.Meter.Resources.Procedure(resources.Server, procedure)
	internal.mux.Handle(procedure, connect.NewUnaryHandler(procedure, handle,
		connect.WithCodec(selfDescribingCodec{internal.schemas}),
		connect.WithCodec(schemaHashCodec{internal.schemas}),
		connect.WithReadMaxBytes(maxMessageBytes),
		connect.WithCompressMinBytes(compressMinBytes),
		connect.WithRecover(recoverPanic),
	))
}

// Target is the destination of a call and its timeout.
type Target struct {
	// Address is the internal address of the daemon.
	Address string
	// Procedure is the path of the procedure.
	Procedure string
	// Timeout is the maximum duration of the call.
	Timeout clock.Microseconds
}

// Call calls a procedure of another daemon. Every failure is returned as a ConnectionLost error, including
// an error that the procedure returned. A failed call may still have been executed.
func Call[Request, Response any](
	parent context.Context, internal *Internal, target Target, message *Request,
) (*Response, error) {
	boundedCtx, cancel := context.WithTimeout(parent, target.Timeout.Duration())
	defer cancel()
	key := target.Address + target.Procedure
	cached, known := internal.procedureClients.Load(key)
	if !known {
		cached, _ = internal.procedureClients.LoadOrStore(key, newProcedureClient[Request, Response](internal, target))
	}
	internal.Meter.Calls.Add(1)
	response, err := cached.(*procedureClient[Request, Response]).call(boundedCtx, internal, message)
	if err != nil {
		return nil, errcode.Wrap(err, errcode.ConnectionLost, key)
	}
	return response, nil
}

// procedureClient calls one procedure at one address. It sends self-describing messages until a successful
// call shows that both sides have cached each other's schemas, and again after any call fails. A request is
// sent a second time only if the other side reports that it has not cached the request's schema, since such
// a request was not executed. A response that can't be decoded here is an error.
type procedureClient[Request, Response any] struct {
	selfDescribing *connect.Client[Request, Response]
	schemaHash     *connect.Client[Request, Response]
	// schemaShared is true while requests contain the schema hash in place of the schema.
	schemaShared atomic.Bool
	// usage counts the calls of the procedure at all addresses.
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

// call sends the message with its schema hash if the other side has cached the schema, else with the schema.
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

// isUnknownSchema reports whether the other side rejected a request because it has not cached the
// request's schema.
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
