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

	"coursepass/internal/faulttest/emulator"
)

// meddler alters what engines answer to one path, when it is a whole answer.
func meddler(path string, alter func(body []byte) []byte) func(http.Handler) http.Handler {
	return func(routes http.Handler) http.Handler {
		return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			if request.URL.Path != path {
				routes.ServeHTTP(writer, request)
				return
			}
			kept := httptest.NewRecorder()
			routes.ServeHTTP(kept, request)
			body := kept.Body.Bytes()
			if kept.Code == http.StatusOK {
				body = alter(body)
			}
			writer.Header().Set(engine.LoadHeader, kept.Header().Get(engine.LoadHeader))
			writer.WriteHeader(kept.Code)
			_, _ = writer.Write(body)
		})
	}
}

// frames alters a decode's stream frame by frame.
func frames(alter func([]engine.Frame) []engine.Frame) func(http.Handler) http.Handler {
	return meddler(engine.DecodePath, func(body []byte) []byte {
		var found []engine.Frame
		for line := range bytes.Lines(body) {
			var frame engine.Frame
			if json.Unmarshal(line, &frame) == nil {
				found = append(found, frame)
			}
		}
		var altered bytes.Buffer
		for _, frame := range alter(found) {
			_ = json.NewEncoder(&altered).Encode(frame)
		}
		return altered.Bytes()
	})
}

// tickets alters what a prefill gives out.
func tickets(alter func(*engine.Ticket)) func(http.Handler) http.Handler {
	return meddler(engine.PrefillPath, func(body []byte) []byte {
		var ticket engine.Ticket
		_ = json.Unmarshal(body, &ticket)
		alter(&ticket)
		altered, _ := json.Marshal(ticket)
		return altered
	})
}

// Every engine of the fleet lies in one way. Nothing wrong reaches a caller as an answer
// that looks whole, and what ran is not told as not run. A frame is 0 for the echoed
// ticket, then the tokens, then the final one.
func TestHostileEngines(test *testing.T) {
	other := engine.Ticket{Run: "another", Ticket: "ticket", Incarnation: "old", Digest: "x", Version: "r1"}
	for name, meddle := range map[string]func(http.Handler) http.Handler{
		"skips a frame":     frames(func(all []engine.Frame) []engine.Frame { return slices.Delete(all, 1, 2) }),
		"repeats a frame":   frames(func(all []engine.Frame) []engine.Frame { return slices.Insert(all, 1, all[1]) }),
		"swaps its frames":  frames(func(all []engine.Frame) []engine.Frame { all[1], all[len(all)-1] = all[len(all)-1], all[1]; return all }),
		"splices a run":     frames(func(all []engine.Frame) []engine.Frame { all[len(all)-2].Run = "another"; return all }),
		"ends unfinished":   frames(func(all []engine.Frame) []engine.Frame { return all[:len(all)-1] }),
		"lies in its count": frames(func(all []engine.Frame) []engine.Frame { all[len(all)-1].Count++; return all }),
		"cuts and counts": frames(func(all []engine.Frame) []engine.Frame {
			all[len(all)-1].Count = len(all) - 3
			return slices.Delete(all, len(all)-2, len(all)-1)
		}),
		"only ends":             frames(func(all []engine.Frame) []engine.Frame { return all[len(all)-1:] }),
		"echoes no ticket":      frames(func(all []engine.Frame) []engine.Frame { return all[1:] }),
		"echoes another ticket": frames(func(all []engine.Frame) []engine.Frame { all[0].Ticket = &other; return all }),
		"echoes an old life": frames(func(all []engine.Frame) []engine.Frame {
			all[0].Ticket.Incarnation = "old"
			return all
		}),
		"speaks garbage":         meddler(engine.DecodePath, func([]byte) []byte { return []byte("{]\n\x00\n") }),
		"gives another's ticket": tickets(func(ticket *engine.Ticket) { *ticket = other }),
		"gives an old ticket":    tickets(func(ticket *engine.Ticket) { ticket.Incarnation = "old" }),
		"gives a void ticket":    tickets(func(ticket *engine.Ticket) { ticket.Ticket = "void" }),
		"answers late":           meddler(engine.PrefillPath, func(body []byte) []byte { time.Sleep(1500 * time.Millisecond); return body }),
	} {
		test.Run(name, func(test *testing.T) {
			play(test, func(stage *stage) {
				stage.meddle = meddle
				for number := range stage.makers {
					each := fmt.Sprint("engine-", number)
					stage.kill(each)
					stage.engine(number, "r1")
					stage.wake(each)
				}
				time.Sleep(6 * time.Second)
				figures := stage.during(5, func() {})
				if figures.Endings["whole"] > 0 || figures.Sent < 100 {
					test.Errorf("%d of %d answers look whole", figures.Endings["whole"], figures.Sent)
				}
				if figures.Runs == 0 || figures.Runs > figures.Keys+figures.Keys/5+5 {
					test.Errorf("%d prompts read for %d requests", figures.Runs, figures.Keys)
				}
			})
		})
	}
}
