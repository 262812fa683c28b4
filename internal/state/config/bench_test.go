package configuration_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"coursepass/internal/state/config"
)

func BenchmarkLargeDocument(bench *testing.B) {
	text, _ := os.ReadFile("../../../examples/asociacion.cue")
	var document strings.Builder
	document.Write(text)
	document.WriteString("\nservices: reservas: prefixes: {\n")
	for line := range 20000 {
		fmt.Fprintf(&document, "\t\"filling-%d\": tokens: %d\n", line, line)
	}
	document.WriteString("}\n")
	for bench.Loop() {
		if _, err := configuration.Expand(document.String(), map[string]string{"startMilliseconds": "450"}); err != nil {
			bench.Fatal(err)
		}
	}
}
