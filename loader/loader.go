// Package loader reads the settings of one host: JSON with comments, validated against
// schema/settings.schema.json or the schema of a forwarding host, with all findings reported at
// once.
package loader

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"strconv"

	"github.com/sardineward/sardineward/parser"
	"github.com/sardineward/sardineward/schema"
)

// Load reads a settings file. The error is a parser.Findings when the file is readable but its
// content is invalid.
func Load(file string) (*Settings, error) {
	src, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("reading settings: %w", err)
	}
	return Parse(file, src)
}

// Parse validates and decodes the content of a settings file. file names it in findings.
func Parse(file string, src []byte) (*Settings, error) {
	doc, found := parser.Parse(file, src, schema.Settings)
	if len(found) > 0 {
		return nil, found
	}
	cfg := new(Settings)
	if err := doc.Decode(cfg); err != nil {
		return nil, err
	}
	if err := cfg.FillDefaults(); err != nil {
		return nil, err
	}
	if err := checkAddresses(doc, cfg).Err(); err != nil {
		return nil, err
	}
	return cfg, nil
}

// FillDefaults sets the defaults of absent groups, and the advertised address of an endpoint without one
// to its listening address.
func (j *Settings) FillDefaults() error {
	if err := setDefaults(&j.Limits); err != nil {
		return err
	}
	if err := setDefaults(&j.Timing); err != nil {
		return err
	}
	if err := setDefaults(&j.Log); err != nil {
		return err
	}
	if err := setDefaults(&j.TLS); err != nil {
		return err
	}
	for _, e := range []*Endpoint{&j.Callers, &j.Peer, &j.Admin} {
		if e.Advertise == "" {
			e.Advertise = e.Listen
		}
	}
	return nil
}

func setDefaults[T any](group **T) error {
	if *group != nil {
		return nil
	}
	*group = new(T)
	return json.Unmarshal([]byte("{}"), *group)
}

func checkAddresses(doc *parser.Document, cfg *Settings) parser.Findings {
	var found parser.Findings
	check := func(pointer, address string) {
		if address == "" {
			return
		}
		if _, err := netip.ParseAddrPort(address); err != nil {
			found = append(found, doc.At(pointer, "want IP:port, have "+strconv.Quote(address)))
		}
	}
	check("/callers/listen", cfg.Callers.Listen)
	check("/callers/advertise", cfg.Callers.Advertise)
	check("/peer/listen", cfg.Peer.Listen)
	check("/peer/advertise", cfg.Peer.Advertise)
	check("/admin/listen", cfg.Admin.Listen)
	check("/admin/advertise", cfg.Admin.Advertise)
	check("/platform", cfg.Platform)
	check("/hostList", cfg.HostList)
	for i, p := range cfg.Peers {
		check("/peers/"+strconv.Itoa(i), p)
	}
	return found
}
