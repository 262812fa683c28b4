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

func samplePlace(name string) setting.Place {
	return setting.Place{Name: name, Hall: "lowell", Fleet: "coursepass", Public: "127.0.0.1:7200", Seeds: []string{"127.0.0.1:7100"}, Level: "info"}
}

func sampleInner() setting.Inner { return setting.Inner{Inner: "127.0.0.1:7100", Parts: 2} }

func controlInterface() (*publicInterface, error) {
	var found *publicInterface
	_, err := withFolder(func(folder string) ([]byte, error) {
		made, err := core.New(core.Settings{
			Place: samplePlace("control-0"), Inner: sampleInner(), Lengths: setting.Lengths{Delta: 200, Lease: 3000}, Data: folder, Rewrite: 1,
		}, 1, circuit.System)
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
		Place: samplePlace("router-0"), Inner: sampleInner(), Grace: 2000, Silence: 1000, Gate: "strict", Fresh: 1600,
	}, 1, circuit.System)
	if err != nil {
		return nil, err
	}
	return describeInterface(made, routerRequests), nil
}
