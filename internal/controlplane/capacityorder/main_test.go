package capacityorder

import (
	"io"
	"testing"

	"github.com/phuslu/log"
	"go.uber.org/goleak"
)

// TestMain discards the log, and fails if a goroutine is still running after the tests.
func TestMain(m *testing.M) {
	log.DefaultLogger.Writer = &log.IOWriter{Writer: io.Discard}
	goleak.VerifyTestMain(m)
}
