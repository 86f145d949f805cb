package loader

import (
	"fmt"
	"net/netip"
	"os"
	"strconv"

	"github.com/sardineward/sardineward/parser"
	"github.com/sardineward/sardineward/schema"
)

// LoadForward reads the settings of a host that forwards by a route table. The error is a
// parser.Findings when the file is readable but its content is invalid.
func LoadForward(file string) (*Forward, error) {
	src, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("reading settings: %w", err)
	}
	return ParseForward(file, src)
}

// ParseForward validates and decodes the content of a settings file. file names it in findings.
func ParseForward(file string, src []byte) (*Forward, error) {
	doc, found := parser.Parse(file, src, schema.Forward)
	if len(found) > 0 {
		return nil, found
	}
	cfg := new(Forward)
	if err := doc.Decode(cfg); err != nil {
		return nil, err
	}
	for _, setting := range []struct{ pointer, addr string }{
		{"/callers", cfg.Callers},
		{"/ready", cfg.Ready},
		{"/peer", cfg.Peer},
		{"/admin", cfg.Admin},
		{"/platform", cfg.Platform},
	} {
		if _, err := netip.ParseAddrPort(setting.addr); err != nil {
			found = append(found, doc.At(setting.pointer, "want IP:port, have "+strconv.Quote(setting.addr)))
		}
	}
	if err := found.Err(); err != nil {
		return nil, err
	}
	return cfg, nil
}
