package proxy_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"

	"coursepass/internal/clock"
	"coursepass/internal/dataplane/balancer"
	"coursepass/internal/dataplane/proxy"
	"coursepass/internal/errcode"
	"coursepass/internal/platformport"
	"coursepass/internal/state/config"
	"coursepass/internal/state/registry"
	"coursepass/internal/state/route"
)

// responseRecorder records the response or rejection that a client received.
type responseRecorder struct {
	status     int
	header     http.Header
	body       strings.Builder
	code       errcode.Code
	retryAfter clock.Microseconds
}

func (r *responseRecorder) WriteHead(status int, header http.Header, _ int64) {
	r.status, r.header = status, header
}

func (r *responseRecorder) Write(data []byte) error {
	r.body.Write(data)
	return nil
}

func (r *responseRecorder) Reject(err error, retryAfter clock.Microseconds) {
	r.code, r.retryAfter = errcode.CodeOf(err, 0), retryAfter
}

// singleRoute returns a table with one stream route to one service.
func singleRoute(maxAttempts int, resumable bool) route.Table {
	return route.Table{
		Routes: map[string]route.Route{"flag": {
			Name:         "flag",
			Host:         "host",
			Prefix:       "/flag/",
			Kind:         route.KindStream,
			Resume:       resumable,
			MaxAttempts:  maxAttempts,
			TotalTimeout: 3 * clock.Second,
			StartTimeout: 400 * clock.Millisecond,
			Services:     []route.WeightedService{{Service: "model", Weight: 1}},
		}},
		Services: map[string]route.Service{"model": {Name: "model"}},
	}
}

// newTestProxy returns a proxy with one engine for each given role. Its clock stands still.
func newTestProxy(client platformport.EngineClient, maxAttempts int, resumable bool, roles ...string) *proxy.Proxy {
	stopped := clock.NewFromSource(func() clock.Microseconds { return clock.Second })
	return newTestProxyWithClock(stopped, client, maxAttempts, resumable, roles...)
}

// newTestProxyWithClock returns a proxy with the given clock and one engine for each given role.
func newTestProxyWithClock(
	timeSource *clock.Clock,
	client platformport.EngineClient,
	maxAttempts int,
	resumable bool,
	roles ...string,
) *proxy.Proxy {
	options := proxy.Options{
		Options:    balancer.Options{Router: "r", Zone: "norte"},
		RetryRatio: 0.2,
		RetryBurst: 60,
	}
	forwarder := proxy.New(options, timeSource, client)
	forwarder.Configure(config.View{RouteTable: singleRoute(maxAttempts, resumable)})
	engines := map[string]registry.Engine{}
	for index, role := range roles {
		incarnation := fmt.Sprintf("engine-%d", index)
		engines[incarnation] = registry.Engine{
			Name:        incarnation,
			Incarnation: incarnation,
			Service:     "model",
			Zone:        "norte",
			Address:     "10.0.0.1:1",
			Role:        role,
			Slots:       8,
		}
	}
	forwarder.UpdateEngines(registry.View{Engines: engines}, 1)
	return forwarder
}

func newRequest() platformport.Request {
	return platformport.Request{
		Method:    "POST",
		Target:    "/flag/1",
		Host:      "host",
		Path:      "/flag/1",
		RequestID: "one",
		Timeout:   clock.Second,
	}
}

// newLongPromptRequest returns a request whose prompt is long enough for a split selection.
func newLongPromptRequest() platformport.Request {
	request := newRequest()
	request.Prompt = []platformport.PromptChunk{{Name: "shared", Tokens: 6000}, {Name: "own", Tokens: 6000}}
	return request
}

// forward forwards a request until it has ended. It returns what the client received and the result of
// Forward.
func forward(forwarder *proxy.Proxy, request platformport.Request) (*responseRecorder, bool) {
	recorder := &responseRecorder{}
	return recorder, forwarder.Forward(context.Background(), request, recorder)
}

// earnRetries earns more than three retry tokens, and then configures the proxy with a route for
// resumable streams with two attempts.
func earnRetries(forwarder *proxy.Proxy) {
	earnRetryTokens(forwarder, 20, singleRoute(2, true))
}

// earnRetryTokens earns retry tokens: it forwards the given number of requests, none of which is sent to
// an engine, and then configures the proxy with the routes.
func earnRetryTokens(forwarder *proxy.Proxy, requests int, routes route.Table) {
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	unserved := route.Route{Host: "host", Prefix: "/", Kind: route.KindStream, TotalTimeout: 1}
	forwarder.Configure(config.View{RouteTable: route.Table{Routes: map[string]route.Route{"none": unserved}}})
	for range requests {
		request := newRequest()
		request.Path, request.Timeout = "/flag/none", 1
		forwarder.Forward(canceled, request, &responseRecorder{})
	}
	forwarder.Configure(config.View{RouteTable: routes})
}
