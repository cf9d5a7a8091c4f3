// Package docs_test checks that the documentation matches the code and that its
// links resolve.
package docs_test

import (
	"io/fs"
	"os"
	"regexp"
	"strings"
	"testing"
)

var (
	metricInCode = regexp.MustCompile("[\"`](currantwinch_[a-z_]+)")
	metricInPage = regexp.MustCompile("\\| `(currantwinch_[a-z_]+)` \\| [^|]+ \\| [^|]+ \\|")
)

// TestMetrics_PageMatchesCode guards against metrics that METRICS.md doesn't list,
// and entries there that the code no longer has.
func TestMetrics_PageMatchesCode(t *testing.T) {
	code := make(map[string]bool)
	err := fs.WalkDir(os.DirFS("../internal"), ".", func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		text, err := os.ReadFile("../internal/" + path)
		for _, m := range metricInCode.FindAllStringSubmatch(string(text), -1) {
			code[m[1]] = true
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile("METRICS.md")
	if err != nil {
		t.Fatal(err)
	}
	page := make(map[string]bool)
	for _, m := range metricInPage.FindAllStringSubmatch(string(text), -1) {
		page[m[1]] = true
		if !code[m[1]] {
			t.Errorf("%s is in METRICS.md and not in the code", m[1])
		}
	}
	for name := range code {
		if !page[name] {
			t.Errorf("%s is in the code and not in METRICS.md", name)
		}
	}
}

var relativeLink = regexp.MustCompile(`\]\(([^)#]+\.(?:md|json)|[a-z/]+/|LICENSE)\)`)

// TestPages_LinksResolve guards against relative links to files and folders that
// don't exist.
func TestPages_LinksResolve(t *testing.T) {
	root := os.DirFS("..")
	err := fs.WalkDir(root, ".", func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".md") {
			return err
		}
		text, err := fs.ReadFile(root, path)
		if err != nil {
			return err
		}
		dir := path[:strings.LastIndexByte("/"+path, '/')]
		for _, m := range relativeLink.FindAllStringSubmatch(string(text), -1) {
			if _, err := os.Stat("../" + dir + m[1]); err != nil {
				t.Errorf("%s links to %s, which does not exist", path, m[1])
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}
