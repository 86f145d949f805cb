// Package builder is the library for operators' programs. Such a program declares models,
// upstreams, pipelines, services and workspaces, and prints the configuration to review and
// submit:
//
//	cfg := builder.Configuration{…}
//	err := builder.Print(os.Stdout, &cfg)
//
// Hosts use the same package to decode and validate submitted configurations.
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

// HashKey returns the form of a bearer or administration key in configuration and settings files:
// SHA-256 in lower-case hex.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Range returns n upstreams that differ from u only in name and address, named prefix-0 to
// prefix-(n-1).
func Range(prefix string, n int, address func(i int) string, u Upstream) []Upstream {
	out := make([]Upstream, n)
	for i := range out {
		out[i] = u
		out[i].Name = fmt.Sprintf("%s-%d", prefix, i)
		out[i].Address = address(i)
	}
	return out
}

// Names returns the names of upstreams, for a pipeline or a service.
func Names(ups []Upstream) []string {
	out := make([]string, len(ups))
	for i, u := range ups {
		out[i] = u.Name
	}
	return out
}

// Print validates the configuration and writes it in a stable order. The error is a
// parser.Findings when the configuration is invalid; nothing is written then.
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

// Canonical returns the configuration as JSON sorted by name, so that equal configurations give
// equal bytes.
func Canonical(cfg *Configuration) ([]byte, error) {
	c := *cfg
	c.Models = sortedBy(c.Models, func(m Model) string { return m.Name })
	c.Accelerators = sortedBy(c.Accelerators, func(a Accelerator) string { return a.Name })
	c.Links = sortedBy(c.Links, func(l Link) string { return l.From + "\x00" + l.To })
	c.Upstreams = sortedBy(c.Upstreams, func(u Upstream) string { return u.Name })
	c.Pipelines = sortedBy(c.Pipelines, func(p Pipeline) string { return p.Name })
	c.Services = sortedBy(c.Services, func(s Service) string { return s.Name })
	c.Workspaces = sortedBy(c.Workspaces, func(w Workspace) string { return w.Name })
	out, err := json.MarshalIndent(&c, "", "  ")
	if err != nil {
		return nil, fmt.Errorf("printing configuration: %w", err)
	}
	return append(out, '\n'), nil
}

func sortedBy[T any](list []T, key func(T) string) []T {
	if len(list) == 0 {
		return []T{}
	}
	out := slices.Clone(list)
	slices.SortStableFunc(out, func(a, b T) int { return strings.Compare(key(a), key(b)) })
	return out
}

// Parse validates and decodes the content of a configuration file. file names it in findings. The
// error is a parser.Findings with everything that is wrong.
func Parse(file string, src []byte) (*Configuration, error) {
	doc, found := parser.Parse(file, src, schema.Configuration)
	if len(found) > 0 {
		return nil, found
	}
	cfg := new(Configuration)
	if err := doc.Decode(cfg); err != nil {
		return nil, err
	}
	found = validate(doc, cfg)
	found.Sort()
	if err := found.Err(); err != nil {
		return nil, err
	}
	return cfg, nil
}
