package examples_test

import (
	"io/fs"
	"path/filepath"
	"testing"

	"github.com/currantwinch/currantwinch/document"
	"github.com/currantwinch/currantwinch/examples"
	"github.com/currantwinch/currantwinch/internal/settings"
)

// TestExamples_DocumentsAndSettingsParse guards against examples that no longer
// match the format of documents or settings.
func TestExamples_DocumentsAndSettingsParse(t *testing.T) {
	files, err := fs.Glob(examples.Documents, "*/documents/*.jsonc")
	if err != nil || len(files) == 0 {
		t.Fatalf("%d documents: %v", len(files), err)
	}
	for _, file := range files {
		text, err := examples.Documents.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := document.Parse(text); err != nil {
			t.Errorf("%s: %v", file, err)
		}
	}
	for _, cell := range []string{"consortium", "trust"} {
		if _, err := settings.Load(filepath.Join(cell, "settings.jsonc")); err != nil {
			t.Error(err)
		}
	}
}
