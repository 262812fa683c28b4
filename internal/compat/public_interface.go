package compat

import (
	"net/http"
	"net/url"
	"strings"

	"coursepass/internal/controlplane"
	"coursepass/internal/dataplane/router"
	"coursepass/internal/settings"
	"coursepass/internal/transport"
)

// controlRequests and routerRequests are one request for each public endpoint.
var (
	controlRequests = []string{
		"GET /live",
		"GET /ready",
		"GET /counters",
		"GET /metrics",
		"GET /v1/status",
		"GET /v1/fleet",
		"GET /v1/outbox",
		"GET /v1/capacity",
		"GET /v1/configuration",
		"POST /v1/operations",
		"GET /v1/operations/key-1",
		"GET /v1/services/bulletin/engines",
		"POST /v1/engines",
		"POST /v1/services/bulletin/engines/engine-1/leave",
	}
	routerRequests = []string{
		"GET /live",
		"GET /ready",
		"GET /counters",
		"GET /metrics",
		"GET /v1/status",
		"POST /v1/answer",
	}
)

// publicInterface is what a daemon serves to operators and callers: the route pattern that
// matches each request, and the names of the counters.
type publicInterface struct {
	Routes   map[string]string
	Counters []string
}

// publicServer is the public interface of a control plane server or a router.
type publicServer interface {
	PublicRoutes() http.Handler
	CounterNames() []string
}

func routeSamples() []Sample {
	return []Sample{
		jsonMessage("public-interface-control", must(controlInterface())),
		jsonMessage("public-interface-router", must(routerInterface())),
	}
}

func describeInterface(server publicServer, requests []string) *publicInterface {
	described := &publicInterface{Routes: map[string]string{}, Counters: server.CounterNames()}
	for _, request := range requests {
		described.Routes[request] = patternOf(server.PublicRoutes(), request)
	}
	return described
}

// patternOf returns the route pattern that matches a request, empty if there is none.
func patternOf(handler http.Handler, request string) string {
	method, path, _ := strings.Cut(request, " ")
	mux, ok := handler.(*http.ServeMux)
	if !ok {
		return ""
	}
	_, pattern := mux.Handler(&http.Request{Method: method, URL: &url.URL{Path: path}})
	return pattern
}

func sampleCommonSettings(name string) settings.Common {
	return settings.Common{
		Name:     name,
		Zone:     sampleZone,
		Fleet:    "coursepass",
		Public:   "127.0.0.1:7200",
		Seeds:    []string{sampleAddress},
		LogLevel: "info",
	}
}

func sampleInternalSettings() settings.Internal {
	return settings.Internal{InternalAddress: sampleAddress, Shards: sampleShards}
}

// controlInterface returns the public interface of a server that isn't started.
//
//nolint:mnd // The numbers are sample settings.
func controlInterface() (*publicInterface, error) {
	var described *publicInterface
	_, err := withTemporaryDirectory(func(directory string) ([]byte, error) {
		server, err := controlplane.New(controlplane.Settings{
			Common:        sampleCommonSettings("control-0"),
			Internal:      sampleInternalSettings(),
			Timing:        settings.Timing{DeltaMillis: 200, LeaseMillis: 3000},
			DataDirectory: directory,
			CompactionMiB: 1,
		}, 1, transport.SystemNetwork)
		if err != nil {
			return nil, err
		}
		defer server.Discard()
		described = describeInterface(server, controlRequests)
		return nil, nil
	})
	return described, err
}

// routerInterface returns the public interface of a router that isn't started.
//
//nolint:mnd // The numbers are sample settings.
func routerInterface() (*publicInterface, error) {
	server, err := router.New(router.Settings{
		Common:             sampleCommonSettings("router-0"),
		Internal:           sampleInternalSettings(),
		DrainTimeoutMillis: 2000,
		StreamIdleMillis:   1000,
		GateMode:           "strict",
		MaxStalenessMillis: 1600,
	}, 1, transport.SystemNetwork)
	if err != nil {
		return nil, err
	}
	return describeInterface(server, routerRequests), nil
}
