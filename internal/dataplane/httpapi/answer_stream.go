package httpapi

import (
	"bufio"
	"encoding/json"
	"io"
	"net/http"

	"coursepass/internal/dataplane/lifecycle"
	"coursepass/internal/engineapi"
	"coursepass/internal/errcode"
)

// frameBufferBytes is the size of the read buffer of an engine's stream.
const frameBufferBytes = 4096

// relayFrames relays the frames of one run, in order, once the engine has echoed the ticket. It
// calls onFrame for each frame before the caller gets it. The final frame is relayed only if its
// count is right.
func (f *forwardedRequest) relayFrames(body io.Reader, ticket engineapi.Ticket, onFrame func()) error {
	lines := bufio.NewReaderSize(body, frameBufferBytes)
	first, err := f.readFrame(lines)
	if err != nil {
		return err
	}
	if first.Ticket == nil || *first.Ticket != ticket {
		return errcode.New(errcode.KVHandleUnknown, "the ticket was not echoed")
	}
	for {
		frame, err := f.readFrame(lines)
		if err != nil {
			return err
		}
		if frame.Final {
			return f.relayFinalFrame(frame)
		}
		if err := f.relayFrame(frame, onFrame); err != nil {
			return err
		}
	}
}

// readFrame reads the next frame of the current run.
func (f *forwardedRequest) readFrame(lines *bufio.Reader) (engineapi.Frame, error) {
	var frame engineapi.Frame
	line, err := lines.ReadBytes('\n')
	if err != nil {
		return frame, errcode.Wrap(err, errcode.StreamInterrupted, "decode stream")
	}
	if err := json.Unmarshal(line, &frame); err != nil {
		return frame, errcode.Wrap(err, errcode.StreamInterrupted, "decode frame")
	}
	if frame.Run != f.runID || frame.Code != 0 {
		return frame, errcode.New(errcode.StreamInterrupted, "frame of run %s, code %d", frame.Run, frame.Code)
	}
	return frame, nil
}

// relayFrame relays a frame with text, which must be the next in order.
func (f *forwardedRequest) relayFrame(frame engineapi.Frame, onFrame func()) error {
	if frame.Number != f.framesSent+1 {
		return errcode.New(errcode.StreamInterrupted, "frame %d after %d", frame.Number, f.framesSent)
	}
	if err := f.startStream(); err != nil {
		return err
	}
	f.framesSent++
	onFrame()
	return f.sendFrame(AnswerFrame{Run: f.runID, Number: frame.Number, Text: frame.Text})
}

// relayFinalFrame ends the response if all tokens were relayed.
func (f *forwardedRequest) relayFinalFrame(frame engineapi.Frame) error {
	if frame.Count != f.framesSent || frame.Count != f.Tokens {
		return errcode.New(errcode.StreamInterrupted, "%d frames, but the count is %d", f.framesSent, frame.Count)
	}
	return f.sendFrame(AnswerFrame{Run: f.runID, Final: true, Count: frame.Count})
}

// startStream begins the response, unless it has begun.
func (f *forwardedRequest) startStream() error {
	if f.encoder != nil {
		return nil
	}
	f.encoder = json.NewEncoder(f.responseWriter)
	f.controller = http.NewResponseController(f.responseWriter)
	f.responseWriter.Header().Set("Content-Type", "application/x-ndjson")
	return f.Transition(lifecycle.StateStreaming)
}

// sendFrame writes one line to the caller and flushes it.
func (f *forwardedRequest) sendFrame(frame AnswerFrame) error {
	if err := f.encoder.Encode(frame); err != nil {
		return errcode.Wrap(err, errcode.ExecutionTimeout, "the caller's connection")
	}
	return errcode.Wrap(f.controller.Flush(), errcode.ExecutionTimeout, "the caller's connection")
}
