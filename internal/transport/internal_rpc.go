package transport

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	"coursepass/internal/clock"
	"coursepass/internal/errcode"
	"coursepass/internal/topology"
)

const (
	fleetHeader     = "Coursepass-Fleet"
	maxMessageBytes = 32 << 20
	// compressMinBytes is the size from which on a message is packed: below it, packing
	// costs more processor time than it saves in bytes.
	compressMinBytes = 2048
)

// Internal is a daemon's side of all calls to its own kind.
type Internal struct {
	Fleet               string
	Meter               *topology.TrafficMeter
	Network             Network
	ForeignRequests     atomic.Int64
	MalformedRequests   atomic.Int64
	SelfDescribingCalls atomic.Int64
	schemas             *schemaCache
	client              *http.Client
	callers             sync.Map
	mux                 *http.ServeMux
}

// NewInternal makes the inner side of a daemon of this fleet.
func NewInternal(fleet string, meter *topology.TrafficMeter, network Network) *Internal {
	return &Internal{
		Fleet: fleet, Meter: meter, Network: network, schemas: newSchemaCache(), mux: http.NewServeMux(),
		client: &http.Client{Transport: NewHTTPTransport(Options{Network: network, Meter: meter})},
	}
}

// ServeHTTP drops what is not of this fleet and counts what can't be read.
func (i *Internal) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if request.Header.Get(fleetHeader) != i.Fleet {
		i.ForeignRequests.Add(1)
		http.Error(writer, errcode.ForeignFleet.String(), http.StatusForbidden)
		return
	}
	recorder := &statusRecorder{ResponseWriter: writer}
	i.mux.ServeHTTP(recorder, request)
	switch recorder.status {
	case http.StatusBadRequest, http.StatusNotFound, http.StatusUnsupportedMediaType, http.StatusMethodNotAllowed, http.StatusInternalServerError:
		i.MalformedRequests.Add(1)
	}
}

type statusRecorder struct {
	http.ResponseWriter
	status int
}

// WriteHeader notes the status that is answered.
func (s *statusRecorder) WriteHeader(status int) {
	s.status = status
	s.ResponseWriter.WriteHeader(status)
}

// Handle serves a procedure.
func Handle[Request, Response any](internal *Internal, procedure string, answer func(context.Context, *Request) (*Response, error)) {
	handler := connect.NewUnaryHandler(procedure, func(ctx context.Context, request *connect.Request[Request]) (*connect.Response[Response], error) {
		response, err := answer(ctx, request.Msg)
		if err != nil {
			return nil, connect.NewError(connect.CodeAborted, err)
		}
		return connect.NewResponse(response), nil
	}, connect.WithCodec(selfDescribingCodec{internal.schemas}), connect.WithCodec(schemaHashCodec{internal.schemas}), connect.WithReadMaxBytes(maxMessageBytes), connect.WithCompressMinBytes(compressMinBytes),
		connect.WithRecover(func(context.Context, connect.Spec, http.Header, any) error {
			return connect.NewError(connect.CodeInternal, errcode.New(errcode.MalformedMessage, "%s", procedure))
		}))
	internal.mux.Handle(procedure, handler)
}

// Call asks a procedure at an inner address within the budget.
func Call[Request, Response any](parent context.Context, internal *Internal, address, procedure string, timeout clock.Microseconds, message *Request) (*Response, error) {
	boundedCtx, cancel := context.WithTimeout(parent, timeout.Duration())
	defer cancel()
	key := address + procedure
	cached, known := internal.callers.Load(key)
	if !known {
		created := &procedureClient[Request, Response]{}
		for index, codec := range []connect.Codec{selfDescribingCodec{internal.schemas}, schemaHashCodec{internal.schemas}} {
			created.clients[index] = connect.NewClient[Request, Response](internal.client, "http://"+key,
				connect.WithCodec(codec), connect.WithReadMaxBytes(maxMessageBytes), connect.WithSendGzip(), connect.WithCompressMinBytes(compressMinBytes))
		}
		cached, _ = internal.callers.LoadOrStore(key, created)
	}
	internal.Meter.Calls.Add(1)
	response, err := cached.(*procedureClient[Request, Response]).call(boundedCtx, internal, message)
	if err != nil {
		return nil, errcode.Wrap(err, errcode.ConnectionLost, key)
	}
	return response, nil
}

// procedureClient calls one procedure at one address: in full until an answer has shown that
// both sides know each other's definitions, and in full again when one side has
// forgotten them. Only a question that the other side says it could not read is sent
// again, since it was not acted upon; an answer that can't be read here is a mishap.
type procedureClient[Request, Response any] struct {
	clients      [2]*connect.Client[Request, Response]
	schemaShared atomic.Bool
}

func (p *procedureClient[Question, Reply]) call(boundedCtx context.Context, internal *Internal, message *Question) (*Reply, error) {
	if p.schemaShared.Load() {
		response, err := p.callOnce(boundedCtx, internal, 1, message)
		if err == nil {
			return response, nil
		}
		p.schemaShared.Store(false)
		if !connect.IsWireError(err) || connect.CodeOf(err) != connect.CodeInvalidArgument || !strings.Contains(err.Error(), unknownSchema) {
			return nil, err
		}
	}
	internal.SelfDescribingCalls.Add(1)
	response, err := p.callOnce(boundedCtx, internal, 0, message)
	p.schemaShared.Store(err == nil)
	return response, err
}

func (p *procedureClient[Question, Reply]) callOnce(boundedCtx context.Context, internal *Internal, codec int, message *Question) (*Reply, error) {
	request := connect.NewRequest(message)
	request.Header().Set(fleetHeader, internal.Fleet)
	response, err := p.clients[codec].CallUnary(boundedCtx, request)
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}

// Serve listens on an address until the context ends, and then lets open
// requests finish within the grace.
func Serve(ctx context.Context, listener net.Listener, handler http.Handler, grace clock.Microseconds) error {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second, IdleTimeout: 60 * time.Second, MaxHeaderBytes: 64 << 10}
	serveErrors := make(chan error, 1)
	go func() { serveErrors <- server.Serve(listener) }()
	select {
	case err := <-serveErrors:
		return errcode.Wrap(err, errcode.StartFailed, "serve "+listener.Addr().String())
	case <-ctx.Done():
		return shutdown(server, grace)
	}
}

func shutdown(server *http.Server, grace clock.Microseconds) error {
	boundedCtx, cancel := context.WithTimeout(context.Background(), grace.Duration())
	defer cancel()
	if server.Shutdown(boundedCtx) != nil {
		return server.Close()
	}
	return nil
}
