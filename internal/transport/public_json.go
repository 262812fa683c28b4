package transport

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"

	"coursepass/internal/clock"
	"coursepass/internal/errcode"
)

// ErrorResponse is the JSON body of every answer that is not what was asked for. Ending
// says what became of the request: not run, run or unknown.
type ErrorResponse struct {
	Code      errcode.Code `json:"code"`
	Name      string       `json:"name"`
	Message   string       `json:"text"`
	Execution string       `json:"ending,omitempty"`
	// RetryAfter tells when to come back; the header Retry-After has it in whole seconds.
	RetryAfter clock.Microseconds `json:"retryMicroseconds,omitempty"`
}

// ReadJSON reads one JSON value of at most so many bytes without unknown fields.
func ReadJSON(writer http.ResponseWriter, request *http.Request, maxBytes int64, target any) error {
	decoder := json.NewDecoder(http.MaxBytesReader(writer, request.Body, maxBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return classifyReadError(err)
	}
	if _, err := decoder.Token(); err != io.EOF {
		return errcode.New(errcode.Malformed, "more than one JSON value")
	}
	return nil
}

func classifyReadError(err error) error {
	var tooLarge *http.MaxBytesError
	var syntax *json.SyntaxError
	var typeError *json.UnmarshalTypeError
	switch {
	case errors.As(err, &tooLarge):
		return errcode.Wrap(err, errcode.Oversized, "body")
	case errors.As(err, &syntax), errors.As(err, &typeError), errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return errcode.Wrap(err, errcode.Malformed, "body")
	}
	return errcode.Wrap(err, errcode.UnknownField, "body")
}

// WriteJSON answers with a value.
func WriteJSON(writer http.ResponseWriter, status int, value any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(value)
}

// WriteError answers with a code; retry tells the caller when to come back if it is
// above zero.
func WriteError(writer http.ResponseWriter, err error, execution string, retryAfter clock.Microseconds) {
	code := errcode.CodeOf(err, errcode.StartFailed)
	if retryAfter > 0 {
		writer.Header().Set("Retry-After", strconv.FormatInt(int64((retryAfter+clock.Second-1)/clock.Second), 10))
	}
	WriteJSON(writer, code.Status(), ErrorResponse{Code: code, Name: code.String(), Message: errcode.Text(err), Execution: execution, RetryAfter: retryAfter})
}
