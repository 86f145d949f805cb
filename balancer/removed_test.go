package balancer_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sardineward/sardineward/balancer"
	"github.com/sardineward/sardineward/matcher"
)

// TestRemovedService guards against a stream in progress that finds no path, since the configuration no longer has its
// service.
func TestRemovedService(t *testing.T) {
	for name, definition := range map[string]*matcher.Service{"model": {Name: "model", Engine: engine()}, "desk": {Name: "desk"}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newBalancer()
			n := balancer.Requirements{Service: name, Definition: definition}
			if definition.Engine != nil {
				n.PromptTokens, n.AnswerTokens = 700, 200
			}
			b.Release(acquire(t, b, time.Second, n))
			b.Configure(map[string]*matcher.Service{})
			_, reason := b.Acquire(2*time.Second, n)
			is.Equal(reason, balancer.ReasonNoUpstream) // not for a new request
			n.InProgress = true
			b.Release(acquire(t, b, 2*time.Second, n))
		})
	}
}
