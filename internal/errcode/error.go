package errcode

import (
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"
)

// Error is an error with a result code.
type Error struct {
	Code Code
	// Detail describes what failed. It is an address, a setting, a path or a complete sentence.
	Detail string
	cause  error
}

// Error returns the code's number and name, the detail and the cause. The number and name are not
// repeated if the detail or the cause starts with the same ones.
func (e *Error) Error() string {
	text := e.Detail
	if e.cause != nil {
		text += ": " + strings.TrimPrefix(e.cause.Error(), e.Code.prefix())
	}
	return e.Code.prefix() + strings.TrimPrefix(text, e.Code.prefix())
}

// prefix returns the start of the message of an error with this code: its number and name.
func (c Code) prefix() string { return fmt.Sprintf("%d %s: ", int(c), c) }

// Unwrap returns the cause, nil if the error has none.
func (e *Error) Unwrap() error { return e.cause }

// Wrap returns an error that wraps the cause with the code, the detail and the caller's stack
// trace. It returns nil if the cause is nil.
func Wrap(cause error, code Code, detail string) error {
	if cause == nil {
		return nil
	}
	return errors.WithStackDepth(&Error{Code: code, Detail: detail, cause: cause}, 1)
}

// New returns an error with the code, the formatted detail and the caller's stack trace.
func New(code Code, format string, values ...any) error {
	return errors.WithStackDepth(&Error{Code: code, Detail: fmt.Sprintf(format, values...)}, 1)
}

// CodeOf returns the code of the outermost [Error] in err's chain. It returns OK if err is nil, and
// fallback if the chain contains no [Error].
func CodeOf(err error, fallback Code) Code {
	if err == nil {
		return OK
	}
	var coded *Error
	if errors.As(err, &coded) {
		return coded.Code
	}
	return fallback
}

// Text returns the message of the outermost [Error] in err's chain, or the message of err itself if
// the chain contains no [Error]. err must not be nil.
func Text(err error) string {
	var coded *Error
	if errors.As(err, &coded) {
		return coded.Error()
	}
	return err.Error()
}
