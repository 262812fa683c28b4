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

// controlRequests and routerRequests are one request for each of the public interfaces.
var (
	controlRequests = []string{
		"GET /live", "GET /ready", "GET /counters", "GET /metrics", "GET /v1/status", "GET /v1/fleet", "GET /v1/configuration",
		"POST /v1/operations", "GET /v1/operations/key-1", "GET /v1/services/bulletin/engines", "POST /v1/engines",
		"POST /v1/services/bulletin/engines/engine-1/leave",
	}
	routerRequests = []string{"GET /live", "GET /ready", "GET /counters", "GET /metrics", "GET /v1/status", "POST /v1/answer"}
)

// publicInterface is what a daemon serves to operators and callers: the pattern that
// takes each request, and the names of the counters.
type publicInterface struct {
	Routes   map[string]string
	Counters []string
}

// daemon is a control daemon or a router as far as its public interface goes.
type daemon interface {
	PublicRoutes() http.Handler
	CounterNames() []string
}

func routeSamples() []Sample {
	return []Sample{interfaceSample("public-interface-control", controlInterface), interfaceSample("public-interface-router", routerInterface)}
}

func interfaceSample(label string, read func() (*publicInterface, error)) Sample {
	return jsonMessage(label, must(read()))
}

func describeInterface(from daemon, requests []string) *publicInterface {
	found := &publicInterface{Routes: map[string]string{}, Counters: from.CounterNames()}
	for _, each := range requests {
		found.Routes[each] = patternOf(from.PublicRoutes(), each)
	}
	return found
}

// patternOf is the pattern that takes a request, empty if there is none.
func patternOf(handler http.Handler, request string) string {
	method, path, _ := strings.Cut(request, " ")
	multiplexer, known := handler.(*http.ServeMux)
	if !known {
		return ""
	}
	_, pattern := multiplexer.Handler(&http.Request{Method: method, URL: &url.URL{Path: path}})
	return pattern
}

func samplePlace(name string) settings.Common {
	return settings.Common{Name: name, Zone: "lowell", Fleet: "coursepass", Public: "127.0.0.1:7200", Seeds: []string{"127.0.0.1:7100"}, LogLevel: "info"}
}

func sampleInner() settings.Internal {
	return settings.Internal{InternalAddress: "127.0.0.1:7100", Shards: 2}
}

func controlInterface() (*publicInterface, error) {
	var found *publicInterface
	_, err := withFolder(func(folder string) ([]byte, error) {
		made, err := controlplane.New(controlplane.Settings{
			Common: samplePlace("control-0"), Internal: sampleInner(), Timing: settings.Timing{DeltaMillis: 200, LeaseMillis: 3000}, DataDirectory: folder, CompactionMiB: 1,
		}, 1, transport.SystemNetwork)
		if err != nil {
			return nil, err
		}
		defer made.Discard()
		found = describeInterface(made, controlRequests)
		return nil, nil
	})
	return found, err
}

func routerInterface() (*publicInterface, error) {
	made, err := router.New(router.Settings{
		Common: samplePlace("router-0"), Internal: sampleInner(), DrainTimeoutMillis: 2000, StreamIdleMillis: 1000, GateMode: "strict", MaxStalenessMillis: 1600,
	}, 1, transport.SystemNetwork)
	if err != nil {
		return nil, err
	}
	return describeInterface(made, routerRequests), nil
}
