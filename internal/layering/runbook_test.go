package layering

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
)

var (
	// logLinePattern matches a log message that the runbook quotes.
	logLinePattern = regexp.MustCompile("log: `([^`]+)`")
	// plainNamePattern matches the name of a counter, a command or a result code.
	plainNamePattern = regexp.MustCompile(`^[a-z]+(?:-[a-z]+)*$`)
)

// minRunbookNames is a lower bound on the names in the runbook, so that a runbook that is not
// understood does not pass.
const minRunbookNames = 20

// stringLiterals returns the values of all string literals in Go files that are no tests.
func stringLiterals(t *testing.T) map[string]bool {
	t.Helper()
	literals := map[string]bool{}
	for _, top := range []string{"cmd", "internal", "platform"} {
		err := filepath.WalkDir(filepath.Join(root, top), func(file string, entry fs.DirEntry, err error) error {
			isSource := strings.HasSuffix(file, ".go") && !strings.HasSuffix(file, "_test.go")
			if err != nil || entry.IsDir() || !isSource {
				return err
			}
			return addStringLiterals(literals, file)
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	return literals
}

func addStringLiterals(literals map[string]bool, file string) error {
	parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.SkipObjectResolution)
	if err != nil {
		return err
	}
	ast.Inspect(parsed, func(node ast.Node) bool {
		if literal, isLiteral := node.(*ast.BasicLit); isLiteral && literal.Kind == token.STRING {
			if value, err := strconv.Unquote(literal.Value); err == nil {
				literals[value] = true
			}
		}
		return true
	})
	return nil
}

// anyStartsWith reports whether a text starts with the prefix.
func anyStartsWith(texts map[string]bool, prefix string) bool {
	for text := range texts {
		if strings.HasPrefix(text, prefix) {
			return true
		}
	}
	return false
}

// seenCells returns the first cells of the runbook's table rows: what an operator sees.
func seenCells(text string) []string {
	var cells []string
	for line := range strings.Lines(text) {
		if strings.HasPrefix(line, "| ") {
			cells = append(cells, strings.Split(line, "|")[1])
		}
	}
	return cells
}

func TestRunbook_NamesWhatTheDaemonsPrint(t *testing.T) {
	text, err := os.ReadFile(filepath.Join(root, "docs", "runbook.md"))
	if err != nil {
		t.Fatal(err)
	}
	literals := stringLiterals(t)
	checked := 0
	for _, cell := range seenCells(string(text)) {
		for _, message := range logLinePattern.FindAllStringSubmatch(cell, -1) {
			checked++
			if !anyStartsWith(literals, message[1]) {
				t.Errorf("no daemon logs %q", message[1])
			}
		}
		withoutMessages := logLinePattern.ReplaceAllString(cell, "")
		for _, span := range codeSpanPattern.FindAllStringSubmatch(withoutMessages, -1) {
			if !plainNamePattern.MatchString(span[1]) {
				continue
			}
			checked++
			if !literals[span[1]] {
				t.Errorf("no counter, command or result code is called %q", span[1])
			}
		}
	}
	if checked < minRunbookNames {
		t.Errorf("%d names checked, at least %d expected", checked, minRunbookNames)
	}
}
