package errcode_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"coursepass/internal/errcode"
)

// TestTable_MatchesDocs checks that docs/codes.md lists exactly the codes of errcode.Table, with the same texts.
func TestTable_MatchesDocs(t *testing.T) {
	text, err := os.ReadFile("../../docs/codes.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, entry := range errcode.Table {
		line := fmt.Sprintf("| %d | %s | %d | %s |", entry.Code, entry.Name, entry.Status, entry.Meaning)
		if !strings.Contains(string(text), line) {
			t.Errorf("docs/codes.md lacks: %s", line)
		}
	}
	if lines := strings.Count(string(text), "\n| "); lines != len(errcode.Table)+2 {
		t.Errorf("docs/codes.md lists %d codes, errcode.Table lists %d", lines-2, len(errcode.Table))
	}
}
