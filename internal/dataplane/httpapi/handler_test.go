package httpapi_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"coursepass/internal/clock"
	"coursepass/internal/consensus"
	"coursepass/internal/dataplane/httpapi"
	"coursepass/internal/errcode"
	"coursepass/internal/node"
	"coursepass/internal/state/config"
	"coursepass/internal/topology"
	"coursepass/internal/transport"
)

// controlState is a ControlState with fixed values.
type controlState struct {
	view       *config.View
	rejection  error
	retryAfter clock.Microseconds
}

func (c *controlState) ConfigView() *config.View             { return c.view }
func (c *controlState) DrainingZones(*config.View) []string  { return nil }
func (c *controlState) Membership(int) *consensus.Membership { return nil }
func (c *controlState) RouterCount() int                     { return 1 }
func (c *controlState) CheckAcceptsWork() error              { return c.rejection }
func (c *controlState) RetryAfter(code errcode.Code) clock.Microseconds {
	if code != errcode.RouterStale {
		return 0
	}
	return c.retryAfter
}

// newHandler returns a handler without engines, and the HTTP handler of its route.
func newHandler(control httpapi.ControlState) (*httpapi.Handler, http.Handler) {
	meter := topology.NewTrafficMeter("zone-a")
	handler := httpapi.New(httpapi.Options{
		Node:              node.Node{Name: "router-0", Role: node.RoleRouter, Zone: "zone-a", InternalAddress: "127.0.0.1:1"},
		Control:           control,
		Clock:             transport.NewClock(transport.SystemNetwork),
		Meter:             meter,
		Internal:          transport.NewInternal("fleet", meter, transport.SystemNetwork),
		Network:           transport.SystemNetwork,
		Shards:            2,
		Replicas:          3,
		StreamIdleTimeout: clock.Second,
	})
	mux := http.NewServeMux()
	handler.Register(mux)
	return handler, mux
}

// testView returns a configuration with one tenant and one repeatable kind of request. Its service has
// no engines and a queue of the given size.
func testView(queue int) *config.View {
	template := config.Template{
		Service:           "chat",
		StartMilliseconds: 1,
		TotalMilliseconds: 1000,
		Repeat:            true,
		MaxTokens:         8,
	}
	return &config.View{Plan: config.Plan{
		Services: map[string]config.Service{"chat": {Queue: queue}},
		Tenants:  map[string]config.Tenant{"tenant": {Kinds: map[string]config.Template{"kind": template}}},
	}}
}

// post sends a request and returns the error response.
func post(t *testing.T, handler http.Handler, body string) (transport.ErrorResponse, *httptest.ResponseRecorder) {
	t.Helper()
	recorder := httptest.NewRecorder()
	request := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/v1/answer", strings.NewReader(body))
	handler.ServeHTTP(recorder, request)
	var rejection transport.ErrorResponse
	if err := json.NewDecoder(recorder.Body).Decode(&rejection); err != nil {
		t.Fatalf("status %d without an error code: %v", recorder.Code, err)
	}
	return rejection, recorder
}

const validBody = `{"tenant":"tenant","kind":"kind","key":"k","prompt":"p","tokens":1}`

func TestHandler_RejectsInvalidRequestsAsNotRun(t *testing.T) {
	cases := map[string]struct {
		body string
		code errcode.Code
	}{
		"no key":                 {`{"tenant":"tenant","kind":"kind","tokens":1}`, errcode.KeyMissing},
		"key too long":           {`{"key":"` + strings.Repeat("k", 129) + `"}`, errcode.KeyMissing},
		"unknown tenant":         {`{"tenant":"other","kind":"kind","key":"k","tokens":1}`, errcode.UnknownTenant},
		"unknown kind":           {`{"tenant":"tenant","kind":"other","key":"k","tokens":1}`, errcode.UnknownRequestKind},
		"no tokens":              {`{"tenant":"tenant","kind":"kind","key":"k"}`, errcode.InvalidTimeout},
		"too many tokens":        {`{"tenant":"tenant","kind":"kind","key":"k","tokens":9}`, errcode.InvalidTimeout},
		"start timeout too long": {`{"tenant":"tenant","kind":"kind","key":"k","tokens":1,"startMilliseconds":2}`, errcode.InvalidTimeout},
		"no engine":              {validBody, errcode.NoEngine},
	}
	for name, invalid := range cases {
		t.Run(name, func(t *testing.T) {
			handler, mux := newHandler(&controlState{view: testView(1)})
			rejection, _ := post(t, mux, invalid.body)
			if rejection.Code != invalid.code || rejection.Execution != "not run" {
				t.Errorf("rejected with code %d (%s), want %d (not run)", rejection.Code, rejection.Execution, invalid.code)
			}
			if handler.Received.Load() != 1 || handler.Rejected.Load() != 1 {
				t.Errorf("%d requests received and %d rejected, want 1 and 1", handler.Received.Load(), handler.Rejected.Load())
			}
		})
	}
}

func TestHandler_RejectsWhileStale(t *testing.T) {
	handler, mux := newHandler(&controlState{
		view:       testView(1),
		rejection:  errcode.New(errcode.RouterStale, "router-0"),
		retryAfter: 3 * clock.Second,
	})
	rejection, recorder := post(t, mux, validBody)
	if rejection.Code != errcode.RouterStale || rejection.Execution != "not run" {
		t.Errorf("rejected with code %d (%s), want %d (not run)", rejection.Code, rejection.Execution, errcode.RouterStale)
	}
	if header := recorder.Header().Get("Retry-After"); header != "3" {
		t.Errorf("Retry-After is %q, want 3", header)
	}
	if handler.StaleRejections.Load() != 1 || handler.Admitted.Load() != 0 {
		t.Errorf("%d stale rejections and %d requests admitted, want 1 and 0",
			handler.StaleRejections.Load(), handler.Admitted.Load())
	}
}

// Guards against a request that passed the router's own check before the router began to drain, and runs after
// the handler has waited for the last request.
func TestHandler_RejectsAfterDrain(t *testing.T) {
	handler, mux := newHandler(&controlState{view: testView(1)})
	if err := handler.Drain(t.Context()); err != nil {
		t.Fatal(err)
	}
	rejection, _ := post(t, mux, validBody)
	if rejection.Code != errcode.RouterDraining || rejection.Execution != "not run" {
		t.Errorf("rejected with code %d (%s), want %d (not run)", rejection.Code, rejection.Execution, errcode.RouterDraining)
	}
	if admitted := handler.Admitted.Load(); admitted != 0 {
		t.Errorf("%d requests were admitted after the handler had drained, want none", admitted)
	}
}

func TestHandler_RejectsWithoutConfiguration(t *testing.T) {
	_, mux := newHandler(&controlState{})
	if rejection, _ := post(t, mux, validBody); rejection.Code != errcode.UnknownTenant {
		t.Errorf("rejected with code %d, want %d", rejection.Code, errcode.UnknownTenant)
	}
}

func TestHandler_RejectsWhenQueueIsFull(t *testing.T) {
	_, mux := newHandler(&controlState{view: testView(0)})
	rejection, recorder := post(t, mux, validBody)
	if rejection.Code != errcode.QueueFull || rejection.Execution != "not run" {
		t.Errorf("rejected with code %d (%s), want %d (not run)", rejection.Code, rejection.Execution, errcode.QueueFull)
	}
	if recorder.Header().Get("Retry-After") == "" {
		t.Error("the response has no Retry-After header")
	}
}

// Guards against an idempotency key that stays reserved although its request is proven not to have run:
// the second request with the same key would be rejected with KeyReused.
func TestHandler_ReleasesKeyOfRejectedRequest(t *testing.T) {
	_, mux := newHandler(&controlState{view: testView(1)})
	for range 2 {
		if rejection, _ := post(t, mux, validBody); rejection.Code != errcode.NoEngine {
			t.Errorf("rejected with code %d, want %d", rejection.Code, errcode.NoEngine)
		}
	}
}
