// Package builder is the operators' library. A program of theirs declares
// models, upstreams, pipelines, services and workspaces, and prints the
// configuration that they review and submit:
//
//	cfg := builder.Configuration{…}
//	err := builder.Print(os.Stdout, &cfg)
//
// Hosts use the same package to decode and check what was submitted.
package builder

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/sardineward/sardineward/parser"
	"github.com/sardineward/sardineward/schema"
)

// HashKey returns the form in which a bearer or administration key stands in
// files: SHA-256 in lower-case hex.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Range declares n upstreams of one accelerator in a data centre that hold the
// same layers, named prefix-0 to prefix-(n-1).
func Range(prefix string, n int, address func(i int) string, u Upstream) []Upstream {
	out := make([]Upstream, n)
	for i := range out {
		out[i] = u
		out[i].Name = fmt.Sprintf("%s-%d", prefix, i)
		out[i].Address = address(i)
	}
	return out
}

// Names lists the names of upstreams, for a pipeline or a service.
func Names(ups []Upstream) []string {
	out := make([]string, len(ups))
	for i, u := range ups {
		out[i] = u.Name
	}
	return out
}

// Print writes the configuration in a stable order, after checking it. The
// error is a parser.Findings when something is wrong; nothing is written then.
func Print(w io.Writer, cfg *Configuration) error {
	src, err := Canonical(cfg)
	if err != nil {
		return err
	}
	var b bytes.Buffer
	b.WriteString("// Printed by a program; change the program, not this text.\n")
	b.Write(src)
	if _, err := Parse("configuration", b.Bytes()); err != nil {
		return err
	}
	_, err = w.Write(b.Bytes())
	return err
}

// Canonical is the configuration as JSON, sorted by name, so that equal
// configurations are equal bytes.
func Canonical(cfg *Configuration) ([]byte, error) {
	c := *cfg
	c.Models = sorted(c.Models, func(m Model) string { return m.Name })
	c.Accelerators = sorted(c.Accelerators, func(a Accelerator) string { return a.Name })
	c.Links = sorted(c.Links, func(l Link) string { return l.From + "\x00" + l.To })
	c.Upstreams = sorted(c.Upstreams, func(u Upstream) string { return u.Name })
	c.Pipelines = sorted(c.Pipelines, func(p Pipeline) string { return p.Name })
	c.Services = sorted(c.Services, func(s Service) string { return s.Name })
	c.Workspaces = sorted(c.Workspaces, func(w Workspace) string { return w.Name })
	out, err := json.MarshalIndent(&c, "", "  ")
	if err != nil {
		return nil, fmt.Errorf("printing configuration: %w", err)
	}
	return append(out, '\n'), nil
}

func sorted[T any](list []T, name func(T) string) []T {
	if len(list) == 0 {
		return []T{}
	}
	out := slices.Clone(list)
	slices.SortStableFunc(out, func(a, b T) int { return strings.Compare(name(a), name(b)) })
	return out
}

// Parse checks and decodes a configuration that was read under the name file.
// The error is a parser.Findings with everything that is wrong.
func Parse(file string, src []byte) (*Configuration, error) {
	doc, found := parser.Parse(file, src, schema.Configuration)
	if len(found) > 0 {
		return nil, found
	}
	cfg := new(Configuration)
	if err := doc.Decode(cfg); err != nil {
		return nil, err
	}
	found = check(doc, cfg)
	found.Sort()
	if err := found.Err(); err != nil {
		return nil, err
	}
	return cfg, nil
}
