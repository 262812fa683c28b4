package usagereport_test

import (
	"testing"

	"go.uber.org/goleak"
)

// TestMain fails if a goroutine outlives the tests.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}
