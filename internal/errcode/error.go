package errcode

import (
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"
)

// Error is an error with a numbered code and the place where it came up.
type Error struct {
	Code   Code
	Detail string
	cause  error
}

// Error reads as number, name, place and cause.
func (e *Error) Error() string {
	text := e.Detail
	if e.cause != nil {
		text += ": " + strings.TrimPrefix(e.cause.Error(), e.Code.prefix())
	}
	return e.Code.prefix() + strings.TrimPrefix(text, e.Code.prefix())
}

func (c Code) prefix() string { return fmt.Sprintf("%d %s: ", int(c), c) }

// Unwrap gives the cause.
func (e *Error) Unwrap() error { return e.cause }

// Wrap names an error: its code and the place. A nil cause stays nil.
func Wrap(cause error, code Code, detail string) error {
	if cause == nil {
		return nil
	}
	return errors.WithStackDepth(&Error{Code: code, Detail: detail, cause: cause}, 1)
}

// New makes a named error of its own.
func New(code Code, format string, values ...any) error {
	return errors.WithStackDepth(&Error{Code: code, Detail: fmt.Sprintf(format, values...)}, 1)
}

// CodeOf finds the code in an error; other receives errors that carry none.
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

// Text is the message without the stack.
func Text(err error) string {
	var coded *Error
	if errors.As(err, &coded) {
		return coded.Error()
	}
	return err.Error()
}
