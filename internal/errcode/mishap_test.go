package mishap_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"coursepass/internal/errcode"
)

// The table in the docs is the table in the code.
func TestTheDocsListEveryCode(test *testing.T) {
	text, err := os.ReadFile("../../docs/codes.md")
	if err != nil {
		test.Fatal(err)
	}
	for _, entry := range mishap.Table {
		line := fmt.Sprintf("| %d | %s | %d | %s |", entry.Code, entry.Name, entry.Status, entry.Meaning)
		if !strings.Contains(string(text), line) {
			test.Errorf("docs/codes.md lacks: %s", line)
		}
	}
	if lines := strings.Count(string(text), "\n| "); lines != len(mishap.Table)+2 {
		test.Errorf("docs/codes.md has %d lines in its table, the code has %d", lines-2, len(mishap.Table))
	}
}
