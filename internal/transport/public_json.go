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

// ErrorResponse is the JSON body of every answer that reports an error.
type ErrorResponse struct {
	Code    errcode.Code `json:"code"`
	Name    string       `json:"name"`
	Message string       `json:"text"`
	// Execution says whether the request was executed, as far as that is known.
	Execution string `json:"ending,omitempty"`
	// RetryAfter is the time after which to retry; the header Retry-After has it in whole
	// seconds, rounded up.
	RetryAfter clock.Microseconds `json:"retryMicroseconds,omitempty"`
}

// ReadJSON decodes a request body that is one JSON value of at most maxBytes bytes. It rejects
// unknown fields.
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

// classifyReadError gives an error of decoding a request body its result code.
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

// WriteJSON answers with a value in JSON.
func WriteJSON(writer http.ResponseWriter, status int, value any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(value) // The caller may have disconnected.
}

// WriteError answers with the code and text of an error. If retryAfter is above 0, the caller is
// asked to retry after that time.
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
