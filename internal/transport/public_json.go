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

// ErrorResponse is the JSON body of every response that reports an error.
type ErrorResponse struct {
	Code    errcode.Code `json:"code"`
	Name    string       `json:"name"`
	Message string       `json:"text"`
	// Execution states whether the request was executed, if that is known.
	Execution string `json:"ending,omitempty"`
	// RetryAfter is the time after which the client should retry. The header Retry-After holds the same
	// time in whole seconds, rounded up.
	RetryAfter clock.Microseconds `json:"retryMicroseconds,omitempty"`
}

// ReadJSON decodes a request body into target. The body must be one JSON value of at most maxBytes bytes
// without unknown fields.
func ReadJSON(writer http.ResponseWriter, request *http.Request, maxBytes int64, target any) error {
	decoder := json.NewDecoder(http.MaxBytesReader(writer, request.Body, maxBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return classifyReadError(err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return errcode.New(errcode.Malformed, "more than one JSON value")
	}
	return nil
}

// classifyReadError wraps an error from decoding a request body with its result code.
func classifyReadError(err error) error {
	var tooLarge *http.MaxBytesError
	var syntax *json.SyntaxError
	var typeError *json.UnmarshalTypeError
	switch {
	case errors.As(err, &tooLarge):
		return errcode.Wrap(err, errcode.Oversized, "body")
	case errors.As(err, &syntax),
		errors.As(err, &typeError),
		errors.Is(err, io.EOF),
		errors.Is(err, io.ErrUnexpectedEOF):
		return errcode.Wrap(err, errcode.Malformed, "body")
	}
	return errcode.Wrap(err, errcode.UnknownField, "body")
}

// WriteJSON writes a response with a value in JSON.
func WriteJSON(writer http.ResponseWriter, status int, value any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(value) // The client may have disconnected.
}

// WriteError writes a response with the code and text of an error. If retryAfter is above 0, the response
// asks the client to retry after that time.
func WriteError(writer http.ResponseWriter, err error, execution string, retryAfter clock.Microseconds) {
	code := errcode.CodeOf(err, errcode.StartFailed)
	if retryAfter > 0 {
		seconds := (retryAfter + clock.Second - 1) / clock.Second
		writer.Header().Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	}
	WriteJSON(writer, code.Status(), ErrorResponse{
		Code:       code,
		Name:       code.String(),
		Message:    errcode.Text(err),
		Execution:  execution,
		RetryAfter: retryAfter,
	})
}
