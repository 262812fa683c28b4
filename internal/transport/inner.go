package circuit

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
	fleetHeader = "Coursepass-Fleet"
	largest     = 32 << 20
	// worthPacking is the size from which on a message is packed: below it, packing
	// costs more processor time than it saves in bytes.
	worthPacking = 2048
)

// Inner is a daemon's side of all calls to its own kind.
type Inner struct {
	Fleet   string
	Meter   *hall.Meter
	Network Network
	Foreign atomic.Int64
	Garbage atomic.Int64
	Full    atomic.Int64
	primers *primers
	client  *http.Client
	calls   sync.Map
	routes  *http.ServeMux
}

// NewInner makes the inner side of a daemon of this fleet.
func NewInner(fleet string, meter *hall.Meter, network Network) *Inner {
	return &Inner{
		Fleet: fleet, Meter: meter, Network: network, primers: newPrimers(), routes: http.NewServeMux(),
		client: &http.Client{Transport: NewTransport(Options{Network: network, Meter: meter})},
	}
}

// ServeHTTP drops what is not of this fleet and counts what can't be read.
func (i *Inner) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if request.Header.Get(fleetHeader) != i.Fleet {
		i.Foreign.Add(1)
		http.Error(writer, mishap.ForeignFleet.String(), http.StatusForbidden)
		return
	}
	watched := &statusWriter{ResponseWriter: writer}
	i.routes.ServeHTTP(watched, request)
	switch watched.status {
	case http.StatusBadRequest, http.StatusNotFound, http.StatusUnsupportedMediaType, http.StatusMethodNotAllowed, http.StatusInternalServerError:
		i.Garbage.Add(1)
	}
}

type statusWriter struct {
	http.ResponseWriter
	status int
}

// WriteHeader notes the status that is answered.
func (s *statusWriter) WriteHeader(status int) {
	s.status = status
	s.ResponseWriter.WriteHeader(status)
}

// Answer serves a procedure.
func Answer[Question, Reply any](inner *Inner, procedure string, answer func(context.Context, *Question) (*Reply, error)) {
	handler := connect.NewUnaryHandler(procedure, func(ctx context.Context, request *connect.Request[Question]) (*connect.Response[Reply], error) {
		reply, err := answer(ctx, request.Msg)
		if err != nil {
			return nil, connect.NewError(connect.CodeAborted, err)
		}
		return connect.NewResponse(reply), nil
	}, connect.WithCodec(fullCodec{inner.primers}), connect.WithCodec(shortCodec{inner.primers}), connect.WithReadMaxBytes(largest), connect.WithCompressMinBytes(worthPacking),
		connect.WithRecover(func(context.Context, connect.Spec, http.Header, any) error {
			return connect.NewError(connect.CodeInternal, mishap.New(mishap.Garbage, "%s", procedure))
		}))
	inner.routes.Handle(procedure, handler)
}

// Call asks a procedure at an inner address within the budget.
func Call[Question, Reply any](parent context.Context, inner *Inner, address, procedure string, budget schedule.Microseconds, question *Question) (*Reply, error) {
	bounded, cancel := context.WithTimeout(parent, budget.Duration())
	defer cancel()
	key := address + procedure
	found, known := inner.calls.Load(key)
	if !known {
		made := &caller[Question, Reply]{}
		for place, codec := range []connect.Codec{fullCodec{inner.primers}, shortCodec{inner.primers}} {
			made.clients[place] = connect.NewClient[Question, Reply](inner.client, "http://"+key,
				connect.WithCodec(codec), connect.WithReadMaxBytes(largest), connect.WithSendGzip(), connect.WithCompressMinBytes(worthPacking))
		}
		found, _ = inner.calls.LoadOrStore(key, made)
	}
	inner.Meter.Calls.Add(1)
	reply, err := found.(*caller[Question, Reply]).call(bounded, inner, question)
	if err != nil {
		return nil, mishap.Wrap(err, mishap.CircuitLost, key)
	}
	return reply, nil
}

// caller calls one procedure at one address: in full until an answer has shown that
// both sides know each other's definitions, and in full again when one side has
// forgotten them. Only a question that the other side says it could not read is sent
// again, since it was not acted upon; an answer that can't be read here is a mishap.
type caller[Question, Reply any] struct {
	clients [2]*connect.Client[Question, Reply]
	short   atomic.Bool
}

func (p *caller[Question, Reply]) call(bounded context.Context, inner *Inner, question *Question) (*Reply, error) {
	if p.short.Load() {
		reply, err := p.once(bounded, inner, 1, question)
		if err == nil {
			return reply, nil
		}
		p.short.Store(false)
		if !connect.IsWireError(err) || connect.CodeOf(err) != connect.CodeInvalidArgument || !strings.Contains(err.Error(), unknownPrimer) {
			return nil, err
		}
	}
	inner.Full.Add(1)
	reply, err := p.once(bounded, inner, 0, question)
	p.short.Store(err == nil)
	return reply, err
}

func (p *caller[Question, Reply]) once(bounded context.Context, inner *Inner, codec int, question *Question) (*Reply, error) {
	request := connect.NewRequest(question)
	request.Header().Set(fleetHeader, inner.Fleet)
	reply, err := p.clients[codec].CallUnary(bounded, request)
	if err != nil {
		return nil, err
	}
	return reply.Msg, nil
}

// Serve listens on an address until the context ends, and then lets open
// requests finish within the grace.
func Serve(ctx context.Context, listener net.Listener, handler http.Handler, grace schedule.Microseconds) error {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second, IdleTimeout: 60 * time.Second, MaxHeaderBytes: 64 << 10}
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(listener) }()
	select {
	case err := <-ended:
		return mishap.Wrap(err, mishap.StartFailed, "serve "+listener.Addr().String())
	case <-ctx.Done():
		return stop(server, grace)
	}
}

func stop(server *http.Server, grace schedule.Microseconds) error {
	bounded, cancel := context.WithTimeout(context.Background(), grace.Duration())
	defer cancel()
	if server.Shutdown(bounded) != nil {
		return server.Close()
	}
	return nil
}
