// Package loader reads the settings of one host: JSON with comments, checked
// against schema/settings.schema.json, with every finding reported at once.
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

// Load reads a settings file. The error is a parser.Findings when the file
// could be read but is wrong.
func Load(file string) (*Settings, error) {
	src, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("reading settings: %w", err)
	}
	return Parse(file, src)
}

// Parse checks and decodes settings that were read under the name file.
func Parse(file string, src []byte) (*Settings, error) {
	doc, found := parser.Parse(file, src, schema.Settings)
	if len(found) > 0 {
		return nil, found
	}
	cfg := new(Settings)
	if err := doc.Decode(cfg); err != nil {
		return nil, err
	}
	if err := cfg.Fill(); err != nil {
		return nil, err
	}
	if err := checkAddresses(doc, cfg).Err(); err != nil {
		return nil, err
	}
	return cfg, nil
}

// Fill gives absent groups their defaults and an endpoint without an
// advertised address its listening one.
func (j *Settings) Fill() error {
	if err := fill(&j.Limits); err != nil {
		return err
	}
	if err := fill(&j.Timing); err != nil {
		return err
	}
	if err := fill(&j.Log); err != nil {
		return err
	}
	if err := fill(&j.TLS); err != nil {
		return err
	}
	for _, e := range []*Endpoint{&j.Callers, &j.Peer, &j.Admin} {
		if e.Advertise == "" {
			e.Advertise = e.Listen
		}
	}
	return nil
}

func fill[T any](group **T) error {
	if *group != nil {
		return nil
	}
	*group = new(T)
	return json.Unmarshal([]byte("{}"), *group)
}

func checkAddresses(doc *parser.Document, cfg *Settings) parser.Findings {
	var found parser.Findings
	check := func(pointer, addr string) {
		if addr == "" {
			return
		}
		if _, err := netip.ParseAddrPort(addr); err != nil {
			found = append(found, doc.At(pointer, "want IP:port, have "+strconv.Quote(addr)))
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
