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
func (mishap *Mishap) Error() string {
	text := mishap.Place
	if mishap.cause != nil {
		text += ": " + strings.TrimPrefix(mishap.cause.Error(), mishap.Code.prefix())
	}
	return mishap.Code.prefix() + strings.TrimPrefix(text, mishap.Code.prefix())
}

func (code Code) prefix() string { return fmt.Sprintf("%d %s: ", int(code), code) }

// Unwrap gives the cause.
func (mishap *Mishap) Unwrap() error { return mishap.cause }

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
