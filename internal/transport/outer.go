package circuit

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"

	"coursepass/internal/clock"
	"coursepass/internal/errcode"
)

// Decline is the JSON body of every answer that is not what was asked for. Ending
// says what became of the request: not run, run or unknown.
type Decline struct {
	Code   mishap.Code `json:"code"`
	Name   string      `json:"name"`
	Text   string      `json:"text"`
	Ending string      `json:"ending,omitempty"`
	// Retry tells when to come back; the header Retry-After has it in whole seconds.
	Retry schedule.Microseconds `json:"retryMicroseconds,omitempty"`
}

// ReadJSON reads one JSON value of at most so many bytes without unknown fields.
func ReadJSON(writer http.ResponseWriter, request *http.Request, most int64, into any) error {
	decoder := json.NewDecoder(http.MaxBytesReader(writer, request.Body, most))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return readMishap(err)
	}
	if _, err := decoder.Token(); err != io.EOF {
		return mishap.New(mishap.Malformed, "more than one JSON value")
	}
	return nil
}

func readMishap(err error) error {
	var large *http.MaxBytesError
	var syntax *json.SyntaxError
	var kind *json.UnmarshalTypeError
	switch {
	case errors.As(err, &large):
		return mishap.Wrap(err, mishap.Oversized, "body")
	case errors.As(err, &syntax), errors.As(err, &kind), errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return mishap.Wrap(err, mishap.Malformed, "body")
	}
	return mishap.Wrap(err, mishap.UnknownField, "body")
}

// WriteJSON answers with a value.
func WriteJSON(writer http.ResponseWriter, status int, value any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(value)
}

// WriteDecline answers with a code; retry tells the caller when to come back if it is
// above zero.
func WriteDecline(writer http.ResponseWriter, err error, ending string, retry schedule.Microseconds) {
	code := mishap.CodeOf(err, mishap.StartFailed)
	if retry > 0 {
		writer.Header().Set("Retry-After", strconv.FormatInt(int64((retry+schedule.Second-1)/schedule.Second), 10))
	}
	WriteJSON(writer, code.Status(), Decline{Code: code, Name: code.String(), Text: mishap.Text(err), Ending: ending, Retry: retry})
}
