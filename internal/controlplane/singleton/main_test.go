package singleton

import (
	"io"
	"testing"

	"github.com/phuslu/log"
	"go.uber.org/goleak"
)

// TestMain discards log output, and fails if a goroutine is still running after the tests.
func TestMain(m *testing.M) {
	log.DefaultLogger.Writer = &log.IOWriter{Writer: io.Discard}
	goleak.VerifyTestMain(m)
}
