package carrier

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"

	"coursepass/internal/dataplane/lifecycle"
	"coursepass/internal/platformport"
	"coursepass/internal/state/route"
)

const pieceLength = 16 << 10

// pass passes an engine's answer on, as it comes.
func (way *way) pass(bounded context.Context, writer port.Engine, answer port.Answer, watch *watch, leave func()) verdict {
	good := answer.Status >= 200 && answer.Status < 300
	if promised(answer.Status) {
		// Such a status would promise a caller that nothing ran; the engine did not say so.
		way.pool.Fail(way.now(), writer.Life)
		way.avoid[writer.Life] = true
		way.step(relay.Unknown)
		return way.missed()
	}
	if way.headed && !good {
		// The engine declined to go on; its own words can't be told any more.
		way.pool.Fail(way.now(), writer.Life)
		way.avoid[writer.Life] = true
		return broken
	}
	if !good && answer.Status >= 500 && !way.headed && way.route.MayRepeat() && way.attempts < way.route.Tries && bounded.Err() == nil {
		way.pool.Fault(way.now(), writer.Life)
		way.avoid[writer.Life] = true
		return lost
	}
	if release := way.release; release != nil {
		if way.release = nil; !release() {
			return broken
		}
	}
	way.step(relay.Streaming)
	way.taken = true
	if !way.headed {
		way.headed = true
		way.carrier.starts.Note(way.now() - way.begun)
		way.caller.Head(answer.Status, answer.Header, answer.Length)
	}
	if !good && answer.Status >= 500 {
		way.pool.Fault(way.now(), writer.Life)
	}
	if good && way.route.Kind == route.Stream {
		return way.events(bounded, writer, answer.Body, watch, leave)
	}
	// Nothing can go on behind what has been passed on.
	watch.keep()
	return way.copy(bounded, writer, answer.Body)
}

// promised tells whether a status promises that a request has not run.
func promised(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests || status == http.StatusRequestTimeout || status == http.StatusMisdirectedRequest
}

func (way *way) copy(bounded context.Context, writer port.Engine, body io.Reader) verdict {
	buffer := make([]byte, pieceLength)
	for {
		count, err := body.Read(buffer)
		if count > 0 && way.caller.Write(buffer[:count]) != nil {
			return over
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF):
			return whole
		default:
			way.cut(bounded, writer)
			return over
		}
	}
}

func (way *way) cut(bounded context.Context, writer port.Engine) {
	if bounded.Err() == nil {
		way.fail(way.now(), writer.Life, false)
		way.avoid[writer.Life] = true
	}
}

var ends = []byte("\n\n")

// events passes whole events on, so that another run can go on behind the last one.
func (way *way) events(bounded context.Context, writer port.Engine, body io.Reader, watch *watch, leave func()) verdict {
	patience := max(2*way.route.Gap, streamPatience)
	if !way.route.Resume {
		watch.keep()
	}
	watch.alive(patience)
	held := make([]byte, 0, pieceLength)
	buffer := make([]byte, pieceLength)
	for {
		count, err := body.Read(buffer)
		if count > 0 {
			watch.alive(patience)
			way.pool.Alive(way.now(), writer.Life)
		}
		held = append(held, buffer[:count]...)
		if !way.route.Resume {
			// Nothing can go on behind a cut: what has come is passed on as it is.
			if len(held) > 0 && way.caller.Write(held) != nil {
				return over
			}
			held = held[:0]
		} else if last := bytes.LastIndex(held, ends); last >= 0 {
			ready := held[:last+len(ends)]
			if way.caller.Write(ready) != nil {
				return over
			}
			if name := lastName(ready); name != "" {
				way.last = name
			}
			held = append(held[:0], held[last+len(ends):]...)
			if err == nil && way.last != "" && way.due(writer) {
				if result, moved := way.move(bounded, writer, leave); moved {
					return result
				}
			}
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF):
			if len(held) > 0 && way.caller.Write(held) != nil {
				return over
			}
			return whole
		default:
			way.cut(bounded, writer)
			if bounded.Err() != nil {
				return over
			}
			return broken
		}
	}
}

// lastName is the id of the last event that has one.
func lastName(events []byte) string {
	name := ""
	for line := range bytes.Lines(events) {
		if value, found := bytes.CutPrefix(line, []byte("id:")); found {
			name = string(bytes.TrimSpace(value))
		}
	}
	return name
}
