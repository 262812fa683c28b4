package config_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"coursepass/internal/state/config"
)

// BenchmarkLargeDocument expands a document with 20,000 fields in one struct, which is below the
// limit of the evaluation cost.
func BenchmarkLargeDocument(b *testing.B) {
	text, err := os.ReadFile("../../../examples/asociacion.cue")
	if err != nil {
		b.Fatal(err)
	}
	var document strings.Builder
	document.Write(text)
	document.WriteString("\nservices: reservas: prefixes: {\n")
	for index := range 20000 {
		fmt.Fprintf(&document, "\t\"filler-%d\": tokens: %d\n", index, index)
	}
	document.WriteString("}\n")
	for b.Loop() {
		if _, err := config.Expand(document.String(), map[string]string{"startMilliseconds": "450"}); err != nil {
			b.Fatal(err)
		}
	}
}
