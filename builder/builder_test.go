package builder_test

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/sardineward/sardineward/builder"
	"github.com/sardineward/sardineward/parser"
)

func smallConfiguration() *builder.Configuration {
	return &builder.Configuration{
		Models:       []builder.Model{{Name: "m", Version: "1", Layers: 8}},
		Accelerators: []builder.Accelerator{{Name: "k", StepMs: 1, LayerMs: 1, Batch: 2}},
		Upstreams: []builder.Upstream{
			{Name: "b", Address: "10.0.0.1:2", DataCentre: "x", Model: "m", Accelerator: "k", FirstLayer: 4, LastLayer: 7},
			{Name: "a", Address: "10.0.0.1:1", DataCentre: "x", Model: "m", Accelerator: "k", LastLayer: 3},
		},
		Pipelines:  []builder.Pipeline{{Name: "p", Model: "m", Upstreams: []string{"a", "b"}, TokenGapMs: 48}},
		Workspaces: []builder.Workspace{{Name: "w", Priority: 5, Pipelines: []string{"p"}}},
	}
}

// TestPrint checks that printed configurations are sorted, and read back the same by Parse and by
// Decode.
func TestPrint(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	is.NoErr(builder.Print(&out, smallConfiguration()))
	parsed, err := builder.Parse("c", out.Bytes())
	is.NoErr(err)
	is.Equal(parsed.Upstreams[0].Name, "a")
	src, err := builder.Canonical(parsed)
	is.NoErr(err)
	is.True(strings.HasSuffix(out.String(), string(src)))
	decoded, err := builder.Decode(src)
	is.NoErr(err)
	again, err := builder.Canonical(decoded)
	is.NoErr(err)
	is.Equal(string(again), string(src))
}

// TestFindings checks that all errors of a configuration are reported at once, each with its
// position.
func TestFindings(t *testing.T) {
	for _, row := range []struct {
		name, src string
		want      []string
	}{
		{"no JSON", "{", []string{"c:1:"}},
		{"unknown field", "{\n  \"models\": [], \"upstreams\": [], \"workspaces\": [],\n  \"modles\": []\n}", []string{`c:3:13: unknown field "modles"`}},
		{"missing parts", "{}", []string{"missing properties"}},
		{"two at once", `{"models": [{"name": "m", "version": "1", "layers": 0}], // none
"upstreams": [{"name": "u", "address": "nowhere", "dataCentre": "x"}], "workspaces": [{}]}`, []string{"c:1:53: models/0/layers", "c:2:"}},
		{"unknown names", `{"models": [{"name": "m", "version": "1", "layers": 4}],
"upstreams": [{"name": "u", "address": "nowhere", "dataCentre": "x", "model": "n"}],
"pipelines": [{"name": "p", "model": "m", "upstreams": ["v"]}],
"workspaces": [{"name": "w", "pipelines": ["q"]}, {"name": "w"}]}`, []string{
			`c:2:40: want IP:port, have "nowhere"`, `unknown model "n"`, `unknown upstream "v"`, "no upstream runs layer 0 of m", `unknown pipeline "q"`, `"w" stands twice`,
		}},
		{"a gap in the layers", `{"models": [{"name": "m", "version": "1", "layers": 8}], "accelerators": [{"name": "k", "stepMs": 1, "layerMs": 1, "batch": 1, "layers": 3}],
"upstreams": [{"name": "a", "address": "10.0.0.1:1", "dataCentre": "x", "model": "m", "accelerator": "k", "firstLayer": 0, "lastLayer": 3},
{"name": "b", "address": "10.0.0.1:1", "dataCentre": "x", "model": "m", "accelerator": "k", "firstLayer": 5, "lastLayer": 9}],
"pipelines": [{"name": "p", "model": "m", "upstreams": ["a", "b"]}], "workspaces": []}`, []string{
			"4 layers, but k holds 3", "layers 5 to 9 are not within 0 to 7", "no upstream runs layer 4 of m",
		}},
	} {
		t.Run(row.name, func(t *testing.T) {
			_, err := builder.Parse("c", []byte(row.src))
			var found parser.Findings
			is.New(t).True(errors.As(err, &found))
			for _, want := range row.want {
				if !strings.Contains(err.Error(), want) {
					t.Errorf("want %q in\n%v", want, err)
				}
			}
		})
	}
}

// FuzzParse checks that every accepted configuration can be printed.
func FuzzParse(f *testing.F) {
	src, err := builder.Canonical(smallConfiguration())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(src)
	f.Add([]byte("{}"))
	f.Add([]byte(`{"models": [], "upstreams": [], "workspaces": [],}`))
	rows, _ := filepath.Glob("testdata/*.jsonc")
	for _, r := range rows {
		if b, err := os.ReadFile(r); err == nil {
			f.Add(b)
		}
	}
	f.Fuzz(func(t *testing.T, src []byte) {
		cfg, err := builder.Parse("c", src)
		if err != nil {
			return
		}
		if err := builder.Print(new(bytes.Buffer), cfg); err != nil {
			t.Errorf("accepted %q but failed to print it: %v", src, err)
		}
	})
}
