package loader_test

import (
	"errors"
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/sardineward/sardineward/loader"
	"github.com/sardineward/sardineward/parser"
)

const forwardSettings = `{
  // one host
  "host": "edge-1", "dataCentre": "a", "callers": "10.0.0.1:80", "ready": "10.0.0.1:81",
  "peer": "10.0.0.1:82", "admin": "10.0.0.1:83", "platform": "10.0.0.9:80", "retryRatio": 0.2, "retryFixed": 198,
}`

func TestForward(t *testing.T) {
	is := is.New(t)
	cfg, err := loader.ParseForward("f", []byte(forwardSettings))
	is.NoErr(err)
	is.Equal(cfg.RetryFixed, 198.0)
	is.Equal(cfg.StopMs, 7500) // its default
}

// TestForwardFindings checks that all errors in settings are reported at once, each with its
// position.
func TestForwardFindings(t *testing.T) {
	for name, tc := range map[string]struct {
		old, new string
		want     []string
	}{
		"missing":     {`"dataCentre": "a", `, ``, []string{"dataCentre"}},
		"not a value": {`"retryRatio": 0.2`, `"retryRatio": `, []string{""}},
		"types":       {`"retryRatio": 0.2, "retryFixed": 198`, `"retryRatio": "x", "retryFixed": -1`, []string{"f:4:", "f:4:"}},
		"unknown":     {`"host"`, `"hots": 1, "host"`, []string{"hots"}},
		"addresses":   {`"10.0.0.1:80", "ready": "10.0.0.1:81"`, `"here:80", "ready": "10.0.0.1"`, []string{`f:3:`, `f:3:`}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := loader.ParseForward("f", []byte(strings.Replace(forwardSettings, tc.old, tc.new, 1)))
			var found parser.Findings
			is.True(errors.As(err, &found))
			is.Equal(len(found), len(tc.want))
			for i, want := range tc.want {
				is.True(strings.Contains(found[i].Error(), want))
			}
		})
	}
}

// TestTemplate checks the settings template in deploy, which the platform fills in at every
// start.
func TestTemplate(t *testing.T) {
	is := is.New(t)
	src, err := os.ReadFile("../deploy/settings.jsonc")
	is.NoErr(err)
	filled := regexp.MustCompile(`\{\{[^}]*\}\}`).ReplaceAllStringFunc(string(src), func(p string) string {
		switch {
		case strings.Contains(p, "listen") || strings.Contains(p, "address"):
			return `"10.1.0.40:8227"`
		case p == "{{ip}}":
			return "10.1.0.40"
		case strings.Contains(p, "bootstrap"):
			return "true"
		case strings.Contains(p, "ports"):
			return "7340"
		case strings.Contains(p, "name") || strings.HasPrefix(p, "{{zon"):
			return `"a"`
		default:
			return "3"
		}
	})
	_, err = loader.ParseForward("settings", []byte(filled))
	is.NoErr(err)
}
