package launcher_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"github.com/sardineward/sardineward/faker"
)

// TestEndlessAnswer guards against a host that takes bytes without end from an upstream into memory, and passes
// them on as an answer.
func TestEndlessAnswer(t *testing.T) {
	for _, c := range []struct {
		service, path string
		most          int
	}{{"desk", "/look/1", 17 << 20}, {"desk", "/book/1", 17 << 20}, {"model", "/stream/1", 2 << 20}, {"model", "/stream/once/1", 2 << 20}} {
		t.Run(c.path, func(t *testing.T) {
			runHost(t, 0, func(b *testbed) {
				is := is.New(t)
				b.injectFaults(c.service, faker.StageFaultEndless)
				r := b.request(http.MethodPost, c.path, "bad", nil)
				is.NoErr(r.err)
				is.Equal(r.status, http.StatusBadGateway)
				for id, s := range b.stages {
					if strings.HasPrefix(id, c.service) {
						t.Logf("%s: %d bytes taken", id, s.EndlessTaken())
						is.True(s.EndlessTaken() <= c.most)
						s.SetFaults()
					}
				}
				is.Equal(b.request(http.MethodPost, c.path, "good", nil).status, http.StatusOK)
			})
		})
	}
	t.Run("many at once", func(t *testing.T) {
		runHost(t, 0, func(b *testbed) {
			is := is.New(t)
			const requests = 24
			b.injectFaults("desk", faults(faker.StageFaultEndless, 2*requests)...)
			var wg sync.WaitGroup
			for n := range requests {
				wg.Go(func() {
					r := b.request(http.MethodPost, "/book/1", fmt.Sprint("bad", n), nil)
					is.True(r.err != nil || r.status == http.StatusBadGateway)
				})
			}
			wg.Wait()
		})
	})
}
