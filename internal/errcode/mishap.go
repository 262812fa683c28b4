package mishap

import (
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"
)

// Mishap is an error with a numbered code and the place where it came up.
type Mishap struct {
	Code  Code
	Place string
	cause error
}

// Error reads as number, name, place and cause.
func (e *Mishap) Error() string {
	text := e.Place
	if e.cause != nil {
		text += ": " + strings.TrimPrefix(e.cause.Error(), e.Code.prefix())
	}
	return e.Code.prefix() + strings.TrimPrefix(text, e.Code.prefix())
}

func (c Code) prefix() string { return fmt.Sprintf("%d %s: ", int(c), c) }

// Unwrap gives the cause.
func (e *Mishap) Unwrap() error { return e.cause }

// Wrap names an error: its code and the place. A nil cause stays nil.
func Wrap(cause error, code Code, place string) error {
	if cause == nil {
		return nil
	}
	return errors.WithStackDepth(&Mishap{Code: code, Place: place, cause: cause}, 1)
}

// New makes a named error of its own.
func New(code Code, format string, values ...any) error {
	return errors.WithStackDepth(&Mishap{Code: code, Place: fmt.Sprintf(format, values...)}, 1)
}

// CodeOf finds the code in an error; other receives errors that carry none.
func CodeOf(err error, other Code) Code {
	if err == nil {
		return Fine
	}
	var named *Mishap
	if errors.As(err, &named) {
		return named.Code
	}
	return other
}

// Text is the message without the stack.
func Text(err error) string {
	var named *Mishap
	if errors.As(err, &named) {
		return named.Error()
	}
	return err.Error()
}
