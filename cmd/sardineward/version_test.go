package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestVersionTellsBuildsApart guards against an older program that is taken for the one built from this code.
func TestVersionTellsBuildsApart(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	ids := make(map[string]bool)
	for _, text := range []string{"one", "two"} {
		src, out := filepath.Join(dir, text+".go"), filepath.Join(dir, text)
		is.NoErr(os.WriteFile(src, []byte("package main\n\nfunc main() { println(\""+text+"\") }\n"), 0o600))
		b, err := exec.CommandContext(t.Context(), "go", "build", "-o", out, src).CombinedOutput()
		if err != nil {
			t.Fatalf("building: %v: %s", err, b)
		}
		whole, err := exec.CommandContext(t.Context(), "go", "tool", "buildid", out).Output()
		is.NoErr(err)
		id := buildID(out)
		is.True(strings.HasSuffix(strings.TrimSpace(string(whole)), "/"+id))
		is.True(strings.HasSuffix(version(out), " build "+id))
		ids[id] = true
	}
	is.Equal(len(ids), 2)
	is.Equal(buildID(filepath.Join(dir, "none")), "unknown")
}
