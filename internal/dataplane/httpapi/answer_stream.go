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

// frameBufferBytes is the size of the buffer for reading an engine's stream.
const frameBufferBytes = 4096

// relayFrames relays the frames of one run to the caller in order. The engine's first frame must echo
// the ticket. relayFrames calls onFrame before it sends a frame with text to the caller. It relays the
// final frame only if all tokens that the caller asked for were relayed.
func (f *forwardedRequest) relayFrames(body io.Reader, ticket engineapi.Ticket, onFrame func()) error {
	lines := bufio.NewReaderSize(body, frameBufferBytes)
	first, err := f.readFrame(lines)
	if err != nil {
		return err
	}
	if first.Ticket == nil || *first.Ticket != ticket {
		return errcode.New(errcode.KVHandleUnknown, "the engine did not echo the ticket")
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

// readFrame reads the next frame and checks that it belongs to the current run and has no error code.
func (f *forwardedRequest) readFrame(lines *bufio.Reader) (engineapi.Frame, error) {
	var frame engineapi.Frame
	line, err := lines.ReadBytes('\n')
	if err != nil {
		return frame, errcode.Wrap(err, errcode.StreamInterrupted, "reading the decode engine's stream")
	}
	if err := json.Unmarshal(line, &frame); err != nil {
		return frame, errcode.Wrap(err, errcode.StreamInterrupted, "parsing a frame of the decode engine's stream")
	}
	if frame.Run != f.runID || frame.Code != 0 {
		return frame, errcode.New(errcode.StreamInterrupted, "frame of run %q with error code %d", frame.Run, frame.Code)
	}
	return frame, nil
}

// relayFrame relays a frame with text, whose number must be the next one.
func (f *forwardedRequest) relayFrame(frame engineapi.Frame, onFrame func()) error {
	if frame.Number != f.framesSent+1 {
		return errcode.New(errcode.StreamInterrupted, "the engine sent frame %d after frame %d", frame.Number, f.framesSent)
	}
	if err := f.startStream(); err != nil {
		return err
	}
	f.framesSent++
	onFrame()
	return f.sendFrame(AnswerFrame{Run: f.runID, Number: frame.Number, Text: frame.Text})
}

// relayFinalFrame relays the final frame if its count and the number of relayed frames equal the
// number of tokens that the caller asked for.
func (f *forwardedRequest) relayFinalFrame(frame engineapi.Frame) error {
	if frame.Count != f.framesSent || frame.Count != f.Tokens {
		return errcode.New(errcode.StreamInterrupted, "the engine sent %d frames and the count %d for %d tokens",
			f.framesSent, frame.Count, f.Tokens)
	}
	return f.sendFrame(AnswerFrame{Run: f.runID, Final: true, Count: frame.Count})
}

// startStream starts the response stream if it has not been started.
func (f *forwardedRequest) startStream() error {
	if f.encoder != nil {
		return nil
	}
	f.encoder = json.NewEncoder(f.responseWriter)
	f.controller = http.NewResponseController(f.responseWriter)
	f.responseWriter.Header().Set("Content-Type", "application/x-ndjson")
	return f.Transition(lifecycle.StateStreaming)
}

// sendFrame writes a frame to the caller as one line and flushes it.
func (f *forwardedRequest) sendFrame(frame AnswerFrame) error {
	if err := f.encoder.Encode(frame); err != nil {
		return errcode.Wrap(err, errcode.ExecutionTimeout, "writing a frame to the caller")
	}
	return errcode.Wrap(f.controller.Flush(), errcode.ExecutionTimeout, "flushing a frame to the caller")
}
