package loader_test

import (
	"encoding/json"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/sardineward/sardineward/loader"
	"github.com/sardineward/sardineward/schema"
)

const minimal = `{
  // A host of three addresses.
  "host": "h", "dataCentre": "x", "platform": "10.0.0.9:1",
  "callers": {"listen": "10.0.0.1:80"}, "peer": {"listen": "10.0.0.1:81", "advertise": "10.0.0.2:81"}, "admin": {"listen": "10.0.0.1:82"},
}`

// TestDefaults parses settings that omit everything with a default.
func TestDefaults(t *testing.T) {
	is := is.New(t)
	cfg, err := loader.Parse("s", []byte(minimal))
	is.NoErr(err)
	is.Equal(cfg.Callers.Advertise, "10.0.0.1:80")
	is.Equal(cfg.Peer.Advertise, "10.0.0.2:81")
	is.Equal(cfg.Timing.GossipMs, 1000)
	is.Equal(cfg.Limits.BodyBytes, 1<<20)
	is.Equal(string(cfg.Log.Level), "info")
}

// TestFindings checks that all errors are reported at once.
func TestFindings(t *testing.T) {
	src := strings.Replace(minimal, `"platform": "10.0.0.9:1"`, "\"platform\": \"nowhere\",\n  \"peers\": [\"10.0.0.3\"]", 1)
	_, err := loader.Parse("s", []byte(src))
	is := is.New(t)
	is.Equal(err.Error(), "s:3:47: want IP:port, have \"nowhere\"\ns:4:13: want IP:port, have \"10.0.0.3\"")
	_, err = loader.Parse("s", []byte(`{"hosts": 1, "timing": {"gossipMs": "soon"}}`))
	for _, want := range []string{`unknown field "hosts"`, "missing properties", "timing/gossipMs"} {
		is.True(strings.Contains(err.Error(), want))
	}
}

// TestPage checks that docs/SETTINGS.md mentions every setting.
func TestPage(t *testing.T) {
	page, err := os.ReadFile("../docs/SETTINGS.md")
	is.New(t).NoErr(err)
	var s struct {
		Properties map[string]json.RawMessage `json:"properties"`
		Defs       map[string]struct {
			Properties map[string]json.RawMessage `json:"properties"`
		} `json:"$defs"`
	}
	is.New(t).NoErr(json.Unmarshal(schema.Settings, &s))
	check := func(name string) {
		if !strings.Contains(string(page), "`"+name+"`") {
			t.Errorf("docs/SETTINGS.md does not mention `%s`", name)
		}
	}
	for name := range s.Properties {
		check(name)
	}
	for _, d := range s.Defs {
		for name := range d.Properties {
			check(name)
		}
	}
}

// FuzzParse checks that accepted settings are complete.
func FuzzParse(f *testing.F) {
	f.Add([]byte(minimal))
	f.Add([]byte("{"))
	f.Add([]byte(`{"peers": ["[::1]:1"]}`))
	f.Fuzz(func(t *testing.T, src []byte) {
		cfg, err := loader.Parse("s", src)
		if err == nil && (cfg.Limits == nil || cfg.Host == "") {
			t.Errorf("accepted %q", src)
		}
	})
}
