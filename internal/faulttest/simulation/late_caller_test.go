package simulation_test

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"coursepass/internal/clock"
	"coursepass/internal/controlplane"
	"coursepass/internal/errcode"
	"coursepass/internal/faulttest/simulation"
	"coursepass/internal/state/config"
	"coursepass/internal/state/registry"
	"coursepass/internal/transport"
)

const (
	// callerHost is the host of a caller, and lateMarker is part of each of its calls that may be held back.
	callerHost = "caller"
	lateMarker = "X-Late: 1"
	// callerPatience is how long a caller waits for an answer.
	callerPatience = time.Second
	// otherZone is a zone that no late request changes.
	otherZone = "centro"
)

// httpCaller is a caller of the product's HTTP interface on one kept connection.
type httpCaller struct {
	*lateChangeFleet
	client  *http.Client
	address string
}

// newCaller returns a caller that is not connected yet.
func (f *lateChangeFleet) newCaller(server string) *httpCaller {
	roundTripper := &http.Transport{
		MaxConnsPerHost: 1,
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			return simulation.Host{MemoryNetwork: f.MemoryNetwork, Name: callerHost}.Dial(ctx, address, clock.Second)
		},
	}
	f.closers = append(f.closers, roundTripper.CloseIdleConnections)
	return &httpCaller{
		lateChangeFleet: f,
		client:          &http.Client{Transport: roundTripper},
		address:         fmt.Sprintf("127.0.0.%s:2", strings.TrimPrefix(server, "core-")),
	}
}

// call sends a request, and returns the result code, or OutcomeUnknown without an answer.
func (c *httpCaller) call(request controlplane.ControlRequest) errcode.Code {
	path, body := httpForm(request)
	ctx, cancel := context.WithTimeout(c.Context(), callerPatience)
	defer cancel()
	post, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.address+path, bytes.NewReader(body))
	if err != nil {
		c.Fatal(err)
	}
	post.Header["X-Late"] = []string{"1"}
	post.Header.Set("Content-Type", "application/json")
	post.GetBody = nil
	response, err := c.client.Do(post)
	if err != nil {
		return errcode.OutcomeUnknown
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return errcode.OutcomeUnknown
	}
	var rejection transport.ErrorResponse
	if response.StatusCode == http.StatusOK || json.Unmarshal(text, &rejection) != nil {
		return errcode.OK
	}
	return rejection.Code
}

// httpForm returns the path and the body of a request on the product's interface.
func httpForm(request controlplane.ControlRequest) (path string, body []byte) {
	var content any
	switch {
	case request.Configure != nil:
		path = "/v1/operations"
		operation := *request.Configure
		operation.Key = rand.Text()
		content = operation
	case request.Engines.Kind == registry.OperationRegister:
		path = "/v1/engines"
		content = request.Engines.Engine
	default:
		engine := request.Engines.Engine
		path = fmt.Sprintf("/v1/services/%s/engines/%s/leave", engine.Service, engine.Name)
		content = struct{}{}
	}
	body, _ = json.Marshal(content) // The types above have no value that JSON lacks.
	return path, body
}

// knownCall has a change of another subject acknowledged on the caller's connection, so that the caller has sent its next
// call later than that.
func (c *httpCaller) knownCall() {
	evacuate := controlplane.ControlRequest{
		Configure: &config.Request{Kind: config.OperationEvacuate, AnyRevision: true, Zone: otherZone},
	}
	for range 3 {
		if c.call(evacuate) == errcode.OK {
			return
		}
	}
	c.Fatal("the first call on the connection was not acknowledged")
}

// lateTakers are the servers that may take a call, by their role.
var lateTakers = map[string]func(*lateChangeFleet) string{
	"the leader":            func(f *lateChangeFleet) string { return f.leader },
	"a follower":            func(f *lateChangeFleet) string { return f.followers[0] },
	"a server without slot": func(*lateChangeFleet) string { return nonMember },
}

// A call is held on its way from the caller to the first server until the caller has given it up and a contrary one was
// acknowledged elsewhere, and is then delivered. It must not undo what was acknowledged, whether it is the first call on
// its connection or a later one. Before, the first server took it for a new call.
func TestLateCaller_DoesNotUndoLaterChange(t *testing.T) {
	for taker, server := range lateTakers {
		for _, first := range []bool{true, false} {
			for _, testCase := range lateChangeCases() {
				t.Run(fmt.Sprintf("%s; %s; first call %v", testCase.name, taker, first), func(t *testing.T) {
					runLateChange(t, func(fleet *lateChangeFleet) {
						request := testCase.late()
						fleet.setRoles(request)
						fleet.acknowledge(testCase.before)
						caller := fleet.newCaller(server(fleet))
						if first {
							fleet.newCaller(server(fleet)).knownCall()
						} else {
							caller.knownCall()
						}
						time.Sleep(time.Second)
						hold := fleet.HoldWrites([]string{callerHost}, []string{server(fleet)}, lateMarker)
						if code := caller.call(request); code != errcode.OutcomeUnknown || hold.Connections() != 1 {
							t.Fatalf("the call was not held: code %d, %d connections", code, hold.Connections())
						}
						fleet.acknowledge(testCase.after)
						fleet.checkInForce(testCase, hold)
					})
				})
			}
		}
	}
}

// callAgain sends a call until it is acknowledged, and returns how often it was sent.
func (c *httpCaller) callAgain(request controlplane.ControlRequest) int {
	for count := 1; count <= 10; count++ {
		if code := c.call(request); code == errcode.OK {
			return count
		}
	}
	c.Fatal("the call was never acknowledged")
	return 0
}

// A caller that waits gets through at its second try, on the same connection, whatever others have changed since its last
// call. Callers that take turns don't starve each other.
func TestLateCaller_LiveCallerGetsThrough(t *testing.T) {
	evacuate, takeBack := zoneRequest(config.OperationEvacuate), zoneRequest(config.OperationReturn)
	register := engineRequest(registry.OperationRegister, "1")
	drain := engineRequest(registry.OperationDrain, "")
	schedule := maintenanceRequest(config.OperationStartMaintenance)
	cancel := maintenanceRequest(config.OperationCancelMaintenance)
	for taker, server := range lateTakers {
		for name, turns := range map[string][2]func() controlplane.ControlRequest{
			"zone": {evacuate, takeBack}, "engine": {register, drain}, "maintenance": {schedule, cancel},
		} {
			t.Run(name+"; "+taker, func(t *testing.T) {
				runLateChange(t, func(fleet *lateChangeFleet) {
					fleet.setRoles(turns[0]())
					callers := [2]*httpCaller{fleet.newCaller(server(fleet)), fleet.newCaller(fleet.leader)}
					for turn := range 8 {
						if count := callers[turn%2].callAgain(turns[turn%2]()); count > 2 {
							t.Errorf("turn %d: the caller got through at try %d", turn, count)
						}
						time.Sleep(300 * time.Millisecond)
					}
				})
			})
		}
	}
}

// A caller whose subject nobody else changes gets through at its first try: the servers report what they have committed with
// each response.
func TestLateCaller_AloneGetsThroughAtOnce(t *testing.T) {
	evacuate, takeBack := zoneRequest(config.OperationEvacuate), zoneRequest(config.OperationReturn)
	for taker, server := range lateTakers {
		t.Run(taker, func(t *testing.T) {
			runLateChange(t, func(fleet *lateChangeFleet) {
				fleet.setRoles(evacuate())
				caller := fleet.newCaller(server(fleet))
				caller.knownCall()
				for turn, request := range []controlplane.ControlRequest{evacuate(), takeBack(), evacuate(), takeBack()} {
					if count := caller.callAgain(request); count > 1 {
						t.Errorf("turn %d: the caller got through at try %d", turn, count)
					}
				}
			})
		})
	}
}

// rawCaller is a connection on which a test writes calls by itself.
type rawCaller struct {
	*lateChangeFleet
	net.Conn
}

func (f *lateChangeFleet) newRawCaller(server string) *rawCaller {
	host := simulation.Host{MemoryNetwork: f.MemoryNetwork, Name: callerHost}
	conn, err := host.Dial(f.Context(), f.newCaller(server).address, clock.Second)
	if err != nil {
		f.Fatal(err)
	}
	f.closers = append(f.closers, func() { _ = conn.Close() })
	return &rawCaller{f, conn}
}

// write writes a part of a call.
func (r *rawCaller) write(text string) {
	if _, err := io.WriteString(r.Conn, text); err != nil {
		r.Fatal(err)
	}
}

// readFor returns what the server sends within a time.
func (r *rawCaller) readFor(duration time.Duration) string {
	_ = r.SetReadDeadline(time.Now().Add(duration)) // Setting the deadline of a pipe fails only after it was closed.
	text, _ := io.ReadAll(r.Conn)                   // Ends with the deadline or with the connection.
	return string(text)
}

// rawCall returns a call as text, with the marker in its last header.
func rawCall(request controlplane.ControlRequest) string {
	path, body := httpForm(request)
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: core\r\nContent-Length: %d\r\n%s\r\n\r\n%s", path, len(body), lateMarker, body)
}

// lateReturnCase is the case of a zone that is taken back late.
func lateReturnCase() lateChangeCase { return lateChangeCases()[0] }

// One half of a call arrives before the link is cut, the other half after the caller has given up.
func TestLateCaller_HalfOfCallBeforeCut(t *testing.T) {
	runLateChange(t, func(fleet *lateChangeFleet) {
		testCase := lateReturnCase()
		fleet.setRoles(testCase.late())
		fleet.acknowledge(testCase.before)
		caller := fleet.newRawCaller(fleet.leader)
		text := rawCall(testCase.late())
		half := strings.Index(text, lateMarker)
		hold := fleet.HoldWrites([]string{callerHost}, []string{fleet.leader}, lateMarker)
		caller.write(text[:half])
		caller.write(text[half:])
		fleet.acknowledge(testCase.after)
		fleet.checkInForce(testCase, hold)
		if answer := caller.readFor(time.Second); !strings.HasPrefix(answer, "HTTP/1.1 503") {
			t.Errorf("the late call was answered %q", answer)
		}
	})
}

// A caller sends a second call before the first one is answered. When the first one is answered, the second one may be
// older than what was acknowledged since; the connection ends instead.
func TestLateCaller_SecondCallBeforeFirstAnswer(t *testing.T) {
	runLateChange(t, func(fleet *lateChangeFleet) {
		testCase := lateReturnCase()
		fleet.setRoles(testCase.late())
		fleet.acknowledge(testCase.before)
		caller := fleet.newRawCaller(fleet.leader)
		first := controlplane.ControlRequest{
			Configure: &config.Request{Kind: config.OperationEvacuate, AnyRevision: true, Zone: otherZone},
		}
		caller.write(rawCall(first) + rawCall(testCase.late()))
		answers := caller.readFor(time.Second)
		if strings.Count(answers, "HTTP/1.1 ") != 1 || !strings.Contains(answers, "Connection: close") {
			t.Errorf("two calls at once were answered %q", answers)
		}
		if !zoneEvacuated(true)(fleet) {
			t.Error("the second call was executed")
		}
	})
}

// A server accepts a connection after a suspension: the connection may have been open for its caller since before, and its
// call may come later still.
func TestLateCaller_AcceptedAfterSuspension(t *testing.T) {
	for taker, server := range lateTakers {
		t.Run(taker, func(t *testing.T) {
			runLateChange(t, func(fleet *lateChangeFleet) {
				testCase := lateReturnCase()
				fleet.setRoles(testCase.late())
				fleet.acknowledge(testCase.before)
				fleet.newCaller(server(fleet)).knownCall()
				fleet.Suspend(server(fleet), 2*clock.Second)
				caller := fleet.newRawCaller(server(fleet))
				time.Sleep(3 * time.Second)
				caller.write(rawCall(testCase.late()))
				if answer := caller.readFor(2 * time.Second); !strings.HasPrefix(answer, "HTTP/1.1 503") {
					t.Errorf("the call was answered %q", answer)
				}
				if !testCase.inForce(fleet) {
					t.Error("the call was executed")
				}
				caller.write(rawCall(testCase.late()))
				if answer := caller.readFor(2 * time.Second); !strings.HasPrefix(answer, "HTTP/1.1 200") {
					t.Errorf("the second try was answered %q", answer)
				}
			})
		})
	}
}
