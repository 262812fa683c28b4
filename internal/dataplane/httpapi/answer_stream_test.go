package httpapi

import (
	"encoding/json"
	"net/http/httptest"
	"strings"
	"testing"

	"coursepass/internal/dataplane/lifecycle"
	"coursepass/internal/engineapi"
	"coursepass/internal/errcode"
)

var testTicket = engineapi.Ticket{Run: "run-1", Ticket: "t", Incarnation: "i", Digest: "d", Version: "v"}

// decodingRequest returns a request for two tokens in StateDecoding, and the recorder of its response.
func decodingRequest(t *testing.T) (*forwardedRequest, *httptest.ResponseRecorder) {
	t.Helper()
	recorder := httptest.NewRecorder()
	request := &forwardedRequest{
		StateMachine:   lifecycle.NewStateMachine(),
		AnswerRequest:  AnswerRequest{Tokens: 2},
		runID:          testTicket.Run,
		responseWriter: recorder,
	}
	request.State = lifecycle.StateDecoding
	return request, recorder
}

// encodeFrames returns the lines of an engine's stream with these frames.
func encodeFrames(t *testing.T, frames ...engineapi.Frame) string {
	t.Helper()
	var lines strings.Builder
	for _, frame := range frames {
		if err := json.NewEncoder(&lines).Encode(frame); err != nil {
			t.Fatal(err)
		}
	}
	return lines.String()
}

func TestRelayFrames_CompleteStream(t *testing.T) {
	request, recorder := decodingRequest(t)
	body := encodeFrames(t,
		engineapi.Frame{Run: "run-1", Ticket: &testTicket},
		engineapi.Frame{Run: "run-1", Number: 1, Text: "a"},
		engineapi.Frame{Run: "run-1", Number: 2, Text: "b"},
		engineapi.Frame{Run: "run-1", Final: true, Count: 2},
	)
	frames := 0
	if err := request.relayFrames(strings.NewReader(body), testTicket, func() { frames++ }); err != nil {
		t.Fatal(err)
	}
	want := `{"run":"run-1","number":1,"text":"a"}` + "\n" +
		`{"run":"run-1","number":2,"text":"b"}` + "\n" +
		`{"run":"run-1","final":true,"count":2}` + "\n"
	if got := recorder.Body.String(); got != want {
		t.Errorf("the caller received %q, want %q", got, want)
	}
	if frames != 2 || request.framesSent != 2 || request.State != lifecycle.StateStreaming {
		t.Errorf("onFrame was called %d times, %d frames were sent, state %s; want 2, 2 and %s",
			frames, request.framesSent, request.State, lifecycle.StateStreaming)
	}
}

func TestRelayFrames_InvalidStreamIsInterrupted(t *testing.T) {
	echo := engineapi.Frame{Run: "run-1", Ticket: &testTicket}
	first := engineapi.Frame{Run: "run-1", Number: 1, Text: "a"}
	finalFrame := func(count int) engineapi.Frame {
		return engineapi.Frame{Run: "run-1", Final: true, Count: count}
	}
	otherTicket := testTicket
	otherTicket.Digest = "other"
	cases := map[string]struct {
		frames     []engineapi.Frame
		code       errcode.Code
		framesSent int
	}{
		"empty stream":            {nil, errcode.StreamInterrupted, 0},
		"ticket not echoed":       {[]engineapi.Frame{first}, errcode.KVHandleUnknown, 0},
		"echo of another ticket":  {[]engineapi.Frame{{Run: "run-1", Ticket: &otherTicket}}, errcode.KVHandleUnknown, 0},
		"final frame, not echoed": {[]engineapi.Frame{{Run: "run-1", Final: true}}, errcode.KVHandleUnknown, 0},
		"another run":             {[]engineapi.Frame{{Run: "run-2", Ticket: &testTicket}}, errcode.StreamInterrupted, 0},
		"error code":              {[]engineapi.Frame{echo, {Run: "run-1", Code: 1}}, errcode.StreamInterrupted, 0},
		"frame out of order":      {[]engineapi.Frame{echo, {Run: "run-1", Number: 2}}, errcode.StreamInterrupted, 0},
		"repeated frame":          {[]engineapi.Frame{echo, first, first}, errcode.StreamInterrupted, 1},
		"wrong count":             {[]engineapi.Frame{echo, first, finalFrame(2)}, errcode.StreamInterrupted, 1},
		"fewer tokens than asked": {[]engineapi.Frame{echo, first, finalFrame(1)}, errcode.StreamInterrupted, 1},
		"no final frame":          {[]engineapi.Frame{echo, first}, errcode.StreamInterrupted, 1},
	}
	for name, stream := range cases {
		t.Run(name, func(t *testing.T) {
			request, recorder := decodingRequest(t)
			err := request.relayFrames(strings.NewReader(encodeFrames(t, stream.frames...)), testTicket, func() {})
			if code := errcode.CodeOf(err, 0); code != stream.code {
				t.Errorf("code %d, want %d (%v)", code, stream.code, err)
			}
			if request.framesSent != stream.framesSent {
				t.Errorf("%d frames sent, want %d", request.framesSent, stream.framesSent)
			}
			if strings.Contains(recorder.Body.String(), "final") {
				t.Errorf("the caller received a final frame: %s", recorder.Body)
			}
		})
	}
}
