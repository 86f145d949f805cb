// Package parser parses JSON with comments, validates it against a JSON Schema, and reports all
// findings at once, each with its position in the file.
//
// It does not interpret the documents; loader and builder add their own findings through
// Document.At.
package parser

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"sort"
	"strconv"
	"strings"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"
	"github.com/tailscale/hujson"
	"golang.org/x/text/language"
	"golang.org/x/text/message"
)

// Finding is one error in a file.
type Finding struct {
	// File is the name of the file, as passed to Parse.
	File string
	// Line and Col count from 1; Col counts bytes.
	Line, Col int
	// Text describes the error in a short sentence without a full stop.
	Text string
}

// Error returns the finding as file:line:col: text.
func (f Finding) Error() string {
	return fmt.Sprintf("%s:%d:%d: %s", f.File, f.Line, f.Col, f.Text)
}

// Findings holds all errors of a file, in order of position.
type Findings []Finding

// Error returns one finding per line.
func (f Findings) Error() string {
	lines := make([]string, len(f))
	for i, finding := range f {
		lines[i] = finding.Error()
	}
	return strings.Join(lines, "\n")
}

// Err returns the findings as an error, or nil when there are none.
func (f Findings) Err() error {
	if len(f) == 0 {
		return nil
	}
	return f
}

// Document is a parsed file.
type Document struct {
	// File is the name of the file, as passed to Parse.
	File string
	// Standard is the source with comments and trailing commas replaced by blanks, so that
	// offsets are those of the source.
	Standard []byte

	src  []byte
	root hujson.Value
}

// Parse parses src and validates it against a schema. The document is nil only when src is not
// syntactically valid; with other findings it can still be used with At.
func Parse(file string, src, schema []byte) (*Document, Findings) {
	root, err := hujson.Parse(src)
	if err != nil {
		return nil, Findings{syntaxFinding(file, err)}
	}
	std := root.Clone()
	std.Standardize()
	doc := &Document{File: file, Standard: std.Pack(), src: src, root: root}
	return doc, doc.validate(schema)
}

// At returns a finding at a JSON pointer, or at the closest parent that the file contains.
func (d *Document) At(pointer, text string) Finding {
	line, col := d.position(pointer)
	return Finding{File: d.File, Line: line, Col: col, Text: text}
}

// Sort sorts findings by position.
func (f Findings) Sort() {
	sort.SliceStable(f, func(i, j int) bool {
		if f[i].Line != f[j].Line {
			return f[i].Line < f[j].Line
		}
		return f[i].Col < f[j].Col
	})
}

func (d *Document) validate(schema []byte) Findings {
	compiled, err := compile(schema)
	if err != nil {
		return Findings{{File: d.File, Line: 1, Col: 1, Text: err.Error()}}
	}
	inst, err := jsonschema.UnmarshalJSON(bytes.NewReader(d.Standard))
	if err != nil {
		return Findings{{File: d.File, Line: 1, Col: 1, Text: err.Error()}}
	}
	var invalid *jsonschema.ValidationError
	if !errors.As(compiled.Validate(inst), &invalid) {
		return nil
	}
	var found Findings
	d.collectLeaves(invalid, &found)
	found.Sort()
	return found
}

// collectLeaves collects the leaves of the tree of validation errors; the inner nodes only say
// that a child is invalid.
func (d *Document) collectLeaves(e *jsonschema.ValidationError, found *Findings) {
	for _, cause := range e.Causes {
		d.collectLeaves(cause, found)
	}
	if len(e.Causes) > 0 {
		return
	}
	pointer := jsonPointer(e.InstanceLocation)
	if extra, ok := e.ErrorKind.(*kind.AdditionalProperties); ok {
		for _, name := range extra.Properties {
			*found = append(*found, d.At(pointer+"/"+escapeToken(name), "unknown field "+strconv.Quote(name)))
		}
		return
	}
	text := e.ErrorKind.LocalizedString(message.NewPrinter(language.English))
	if pointer != "" {
		text = pointer[1:] + ": " + text
	}
	*found = append(*found, d.At(pointer, text))
}

func (d *Document) position(pointer string) (line, col int) {
	for {
		if v := d.root.Find(pointer); v != nil {
			return lineCol(d.src, v.StartOffset)
		}
		i := strings.LastIndexByte(pointer, '/')
		if i < 0 {
			return 1, 1
		}
		pointer = pointer[:i]
	}
}

func compile(schema []byte) (*jsonschema.Schema, error) {
	parsed, err := jsonschema.UnmarshalJSON(bytes.NewReader(schema))
	if err != nil {
		return nil, fmt.Errorf("reading schema: %w", err)
	}
	c := jsonschema.NewCompiler()
	if err := c.AddResource("schema.json", parsed); err != nil {
		return nil, fmt.Errorf("adding schema: %w", err)
	}
	return c.Compile("schema.json")
}

func syntaxFinding(file string, err error) Finding {
	f := Finding{File: file, Line: 1, Col: 1, Text: err.Error()}
	var line, col int
	rest, ok := strings.CutPrefix(err.Error(), "hujson: line ")
	if !ok {
		return f
	}
	if n, _ := fmt.Sscanf(rest, "%d, column %d", &line, &col); n == 2 {
		f.Line, f.Col = line, col
		if _, text, found := strings.Cut(rest, ": "); found {
			f.Text = text
		}
	}
	return f
}

func lineCol(src []byte, offset int) (line, col int) {
	if offset > len(src) {
		offset = len(src)
	}
	before := src[:offset]
	line = 1 + bytes.Count(before, []byte("\n"))
	return line, offset - bytes.LastIndexByte(before, '\n')
}

func jsonPointer(location []string) string {
	var b strings.Builder
	for _, token := range location {
		b.WriteByte('/')
		b.WriteString(escapeToken(token))
	}
	return b.String()
}

func escapeToken(token string) string {
	return strings.NewReplacer("~", "~0", "/", "~1").Replace(token)
}

// Decode unmarshals the document into v. Call it only when Parse returned no findings.
func (d *Document) Decode(v any) error {
	if err := json.Unmarshal(d.Standard, v); err != nil {
		return Findings{{File: d.File, Line: 1, Col: 1, Text: err.Error()}}
	}
	return nil
}
