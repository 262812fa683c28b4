package layering

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

var (
	// linkPattern matches an inline link; its group is the target.
	linkPattern = regexp.MustCompile(`\[[^\]]*\]\(([^)\s]+)\)`)
	// codeSpanPattern matches text in single backticks.
	codeSpanPattern = regexp.MustCompile("`([^`\n]+)`")
	// pathPattern matches a code span that is a path of the source tree; braces and
	// asterisks are expanded as a shell does.
	pathPattern = regexp.MustCompile(`^(?:internal|platform|cmd|trials|examples|deploy)/[A-Za-z0-9_./*{},-]*$`)
	// fileNamePattern matches a code span that is the name of a Go file without its folder.
	fileNamePattern = regexp.MustCompile(`^[a-z0-9_]+\.go$`)
	// testNamePattern matches the name of a test or of a fuzz test.
	testNamePattern = regexp.MustCompile(`\b(?:Test|Fuzz)[A-Z]\w*`)
	// headingPattern matches a heading; its group is the text.
	headingPattern = regexp.MustCompile(`(?m)^#{1,6} +(.+?) *$`)
	// fencedBlockPattern matches a fenced code block.
	fencedBlockPattern = regexp.MustCompile("(?ms)^```.*?^```")
	// anchorDropPattern matches what a heading's anchor leaves out.
	anchorDropPattern = regexp.MustCompile(`[^\p{L}\p{N} _-]`)
)

// page is one Markdown file of the documentation.
type page struct {
	// file is relative to the root.
	file string
	text string
}

// readPages reads README.md, CONTRIBUTING.md and all pages below docs.
func readPages(t *testing.T) []page {
	t.Helper()
	files := []string{"README.md", "CONTRIBUTING.md"}
	err := filepath.WalkDir(filepath.Join(root, "docs"), func(file string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || filepath.Ext(file) != ".md" {
			return err
		}
		relative, err := filepath.Rel(root, file)
		files = append(files, relative)
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	pages := make([]page, 0, len(files))
	for _, file := range files {
		text, err := os.ReadFile(filepath.Join(root, file))
		if err != nil {
			t.Fatal(err)
		}
		pages = append(pages, page{file: file, text: string(text)})
	}
	return pages
}

// exists reports whether a path relative to the root exists. A path with a wildcard exists if
// something matches it.
func exists(t *testing.T, path string) bool {
	t.Helper()
	matches, err := filepath.Glob(filepath.Join(root, path))
	if err != nil {
		t.Fatalf("%s: %v", path, err)
	}
	return len(matches) > 0
}

// expandBraces returns the paths that a path with at most one pair of braces stands for.
func expandBraces(path string) []string {
	before, rest, braced := strings.Cut(path, "{")
	if !braced {
		return []string{path}
	}
	alternatives, after, _ := strings.Cut(rest, "}")
	var paths []string
	for alternative := range strings.SplitSeq(alternatives, ",") {
		paths = append(paths, before+alternative+after)
	}
	return paths
}

// anchors returns the anchors of a page's headings.
func anchors(text string) map[string]bool {
	found := map[string]bool{}
	for _, heading := range headingPattern.FindAllStringSubmatch(fencedBlockPattern.ReplaceAllString(text, ""), -1) {
		kept := anchorDropPattern.ReplaceAllString(strings.ToLower(heading[1]), "")
		found[strings.ReplaceAll(kept, " ", "-")] = true
	}
	return found
}

// declaredTests returns the names of all tests and fuzz tests in the tree.
func declaredTests(t *testing.T) map[string]bool {
	t.Helper()
	declared := map[string]bool{}
	for _, top := range []string{"cmd", "internal", "platform"} {
		err := filepath.WalkDir(filepath.Join(root, top), func(file string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || !strings.HasSuffix(file, "_test.go") {
				return err
			}
			parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.SkipObjectResolution)
			if err != nil {
				return err
			}
			for _, declaration := range parsed.Decls {
				if function, isFunction := declaration.(*ast.FuncDecl); isFunction && function.Recv == nil {
					declared[function.Name.Name] = true
				}
			}
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	return declared
}

func TestPages_RelativeLinksResolve(t *testing.T) {
	textOf := map[string]string{}
	pages := readPages(t)
	for _, page := range pages {
		textOf[page.file] = page.text
	}
	for _, page := range pages {
		for _, link := range linkPattern.FindAllStringSubmatch(page.text, -1) {
			if strings.Contains(link[1], "://") {
				continue
			}
			target, anchor, _ := strings.Cut(link[1], "#")
			file := page.file
			if target != "" {
				file = filepath.Join(filepath.Dir(page.file), target)
			}
			if !exists(t, file) {
				t.Errorf("%s links to %s, which does not exist", page.file, link[1])
				continue
			}
			if anchor != "" && !anchors(textOf[file])[anchor] {
				t.Errorf("%s links to %s, but %s has no such heading", page.file, link[1], file)
			}
		}
	}
}

func TestPages_PathsExist(t *testing.T) {
	for _, page := range readPages(t) {
		for _, span := range codeSpanPattern.FindAllStringSubmatch(page.text, -1) {
			if fileNamePattern.MatchString(span[1]) {
				t.Errorf("%s names %s without its folder", page.file, span[1])
			}
			if !pathPattern.MatchString(span[1]) {
				continue
			}
			for _, path := range expandBraces(span[1]) {
				if !exists(t, path) {
					t.Errorf("%s names %s, which does not exist", page.file, path)
				}
			}
		}
	}
}

func TestPages_TestsExist(t *testing.T) {
	declared := declaredTests(t)
	for _, page := range readPages(t) {
		for _, name := range testNamePattern.FindAllString(page.text, -1) {
			if !declared[name] {
				t.Errorf("%s names %s, which is no test function", page.file, name)
			}
		}
	}
}
