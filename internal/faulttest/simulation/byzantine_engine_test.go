package simulation_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"coursepass/internal/engineapi"
	"coursepass/internal/faulttest/loadgen"
)

// alterResponses alters the complete responses of engines at one path.
func alterResponses(path string, alter func(body []byte) []byte) func(http.Handler) http.Handler {
	return func(routes http.Handler) http.Handler {
		return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			if request.URL.Path != path {
				routes.ServeHTTP(writer, request)
				return
			}
			recorder := httptest.NewRecorder()
			routes.ServeHTTP(recorder, request)
			body := recorder.Body.Bytes()
			if recorder.Code == http.StatusOK {
				body = alter(body)
			}
			writer.Header().Set(engineapi.RunningHeader, recorder.Header().Get(engineapi.RunningHeader))
			writer.WriteHeader(recorder.Code)
			_, _ = writer.Write(body)
		})
	}
}

// alterFrames alters the frames of a decode's stream.
func alterFrames(alter func([]engineapi.Frame) []engineapi.Frame) func(http.Handler) http.Handler {
	return alterResponses(engineapi.DecodePath, func(body []byte) []byte {
		var received []engineapi.Frame
		for line := range bytes.Lines(body) {
			var frame engineapi.Frame
			if json.Unmarshal(line, &frame) == nil {
				received = append(received, frame)
			}
		}
		var altered bytes.Buffer
		for _, frame := range alter(received) {
			_ = json.NewEncoder(&altered).Encode(frame)
		}
		return altered.Bytes()
	})
}

// alterTickets alters the tickets of prefills.
func alterTickets(alter func(*engineapi.Ticket)) func(http.Handler) http.Handler {
	return alterResponses(engineapi.PrefillPath, func(body []byte) []byte {
		var ticket engineapi.Ticket
		_ = json.Unmarshal(body, &ticket)
		alter(&ticket)
		altered, _ := json.Marshal(ticket)
		return altered
	})
}

// The test has all engines of the fleet misbehave in one way. No caller gets a wrong answer that looks
// complete, and nothing that ran is reported as not run. Frame 0 is the echoed ticket, then come the
// tokens, then the final frame.
//
//nolint:funlen // a table of misbehaviours
func TestByzantineEngines(t *testing.T) {
	other := engineapi.Ticket{Run: "another", Ticket: "ticket", Incarnation: "old", Digest: "x", Version: "r1"}
	for name, alterResponse := range map[string]func(http.Handler) http.Handler{
		"skips a frame":   alterFrames(func(all []engineapi.Frame) []engineapi.Frame { return slices.Delete(all, 1, 2) }),
		"repeats a frame": alterFrames(func(all []engineapi.Frame) []engineapi.Frame { return slices.Insert(all, 1, all[1]) }),
		"swaps its frames": alterFrames(func(all []engineapi.Frame) []engineapi.Frame {
			all[1], all[len(all)-1] = all[len(all)-1], all[1]
			return all
		}),
		"splices a run": alterFrames(func(all []engineapi.Frame) []engineapi.Frame {
			all[len(all)-2].Run = "another"
			return all
		}),
		"ends unfinished":   alterFrames(func(all []engineapi.Frame) []engineapi.Frame { return all[:len(all)-1] }),
		"lies in its count": alterFrames(func(all []engineapi.Frame) []engineapi.Frame { all[len(all)-1].Count++; return all }),
		"cuts and counts": alterFrames(func(all []engineapi.Frame) []engineapi.Frame {
			all[len(all)-1].Count = len(all) - 3
			return slices.Delete(all, len(all)-2, len(all)-1)
		}),
		"only ends":             alterFrames(func(all []engineapi.Frame) []engineapi.Frame { return all[len(all)-1:] }),
		"echoes no ticket":      alterFrames(func(all []engineapi.Frame) []engineapi.Frame { return all[1:] }),
		"echoes another ticket": alterFrames(func(all []engineapi.Frame) []engineapi.Frame { all[0].Ticket = &other; return all }),
		"echoes an old incarnation": alterFrames(func(all []engineapi.Frame) []engineapi.Frame {
			all[0].Ticket.Incarnation = "old"
			return all
		}),
		"speaks garbage":         alterResponses(engineapi.DecodePath, func([]byte) []byte { return []byte("{]\n\x00\n") }),
		"gives another's ticket": alterTickets(func(ticket *engineapi.Ticket) { *ticket = other }),
		"gives an old ticket":    alterTickets(func(ticket *engineapi.Ticket) { ticket.Incarnation = "old" }),
		"gives a void ticket":    alterTickets(func(ticket *engineapi.Ticket) { ticket.Ticket = "void" }),
		"answers late": alterResponses(engineapi.PrefillPath, func(body []byte) []byte {
			time.Sleep(1500 * time.Millisecond)
			return body
		}),
	} {
		t.Run(name, func(t *testing.T) {
			runScenario(t, func(fleet *testFleet) {
				fleet.responseMiddleware = alterResponse
				for number := range fleet.engineCount {
					engineName := fmt.Sprint("engine-", number)
					fleet.killDaemon(engineName)
					fleet.addEngine(number, "r1")
					fleet.startDaemon(engineName)
				}
				time.Sleep(6 * time.Second)
				results := fleet.loadDuring(5, func() {})
				if results.Outcomes[loadgen.OutcomeComplete] > 0 || results.Sent < 100 {
					t.Errorf("%d of %d answers look complete", results.Outcomes[loadgen.OutcomeComplete], results.Sent)
				}
				if results.PrefillsStarted == 0 || results.PrefillsStarted > results.Keys+results.Keys/5+5 {
					t.Errorf("%d prefills for %d requests", results.PrefillsStarted, results.Keys)
				}
			})
		})
	}
}
