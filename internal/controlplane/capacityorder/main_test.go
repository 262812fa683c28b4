package capacityorder

import (
	"io"
	"testing"

	"github.com/phuslu/log"
	"go.uber.org/goleak"
)

// TestMain fails if a goroutine outlives the tests.
func TestMain(m *testing.M) {
	log.DefaultLogger.Writer = &log.IOWriter{Writer: io.Discard}
	goleak.VerifyTestMain(m)
}
