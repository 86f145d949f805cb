package launcher_test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sardineward/sardineward/faker"
	"github.com/sardineward/sardineward/matcher"
)

// TestStreamBesideChange guards against a stream that is cut, since a configuration takes away what it was admitted by
// while it runs, whether or not it breaks off and is resumed after that.
func TestStreamBesideChange(t *testing.T) {
	for name, change := range map[string]func(cfg *matcher.Configuration){
		"route": func(cfg *matcher.Configuration) {
			cfg.Routes = slices.DeleteFunc(cfg.Routes, func(r matcher.Route) bool { return strings.HasPrefix(r.Prefix, "/stream/") })
		},
		"route to another service": func(cfg *matcher.Configuration) {
			for n := range cfg.Routes {
				if strings.HasPrefix(cfg.Routes[n].Prefix, "/stream/") {
					cfg.Routes[n].Splits = []matcher.Split{{Service: "desk", Weight: 1}}
				}
			}
		},
		"key": func(cfg *matcher.Configuration) {
			cfg.Workspaces = []matcher.Workspace{{Name: "mill", Keys: []string{"another"}}}
		},
		"workspace": func(cfg *matcher.Configuration) {
			cfg.Workspaces = []matcher.Workspace{{Name: "yard", Keys: []string{"another"}}}
		},
		"service": func(cfg *matcher.Configuration) {
			cfg.Routes = slices.DeleteFunc(cfg.Routes, func(r matcher.Route) bool { return strings.HasPrefix(r.Prefix, "/stream/") })
			cfg.Services = slices.DeleteFunc(cfg.Services, func(s matcher.Service) bool { return s.Name == "model" })
		},
	} {
		for _, breaks := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, breaks %v", name, breaks), func(t *testing.T) {
				runHost(t, 0, func(b *testbed) {
					is := is.New(t)
					for _, s := range b.stages {
						s.Events, s.EventInterval = 10, 300*time.Millisecond
						if breaks {
							s.SetFaultOf(func(r *http.Request) faker.StageFault {
								if r.Header.Get("Last-Event-Id") == "" {
									return faker.StageFaultBrokenStream
								}
								return faker.StageFaultNone
							})
						}
					}
					done := make(chan reply)
					go func() { done <- b.request(http.MethodPost, "/stream/1", "long", nil) }()
					time.Sleep(350 * time.Millisecond)
					cfg := configuration()
					cfg.Version = 2
					change(&cfg)
					b.source.Configure(&cfg)
					r := <-done
					b.assertCompleteStream(r)
					is.True(r.took < 4*time.Second)
				})
			})
		}
	}
}
