package launcher_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sardineward/sardineward/faker"
	"github.com/sardineward/sardineward/loader"
	"github.com/sardineward/sardineward/matcher"
)

// TestWorkspaceShare: in a shortage, a workspace that asks for most is refused beyond its share, and
// others are not; with one workspace, or without the setting, no request is refused for a share.
func TestWorkspaceShare(t *testing.T) {
	for _, c := range []struct{ several, divided bool }{{false, true}, {true, false}, {true, true}} {
		t.Run(fmt.Sprintf("several workspaces %t, shares %t", c.several, c.divided), func(t *testing.T) {
			several := c.several
			runHostWith(t, &loader.Forward{WorkspaceShares: c.divided}, func(b *testbed) {
				is := is.New(t)
				if several {
					b.cfg.Workspaces = append(b.cfg.Workspaces, matcher.Workspace{Name: "kiln", Keys: []string{"key-of-kiln"}})
				}
				b.setPriority("/book/", 0)
				exceeded := map[string]int{}
				for i := range 600 {
					if i%10 == 0 { // two of three requests meet upstreams that are full
						b.injectFaults("desk", faults(faker.StageFaultOverloaded, 4)...)
					}
					id, auth := fmt.Sprint("m", i), "Bearer "+apiKey
					if i%20 == 0 {
						auth = "Bearer key-of-kiln"
						if !several {
							continue
						}
					}
					r := b.request(http.MethodPost, fmt.Sprint("/book/", i), id, func(r *http.Request) { r.Header.Set("Authorization", auth) })
					if strings.Contains(r.body, "exceeds its share") {
						is.Equal(r.status, http.StatusServiceUnavailable)
						is.Equal(b.runs(id), 0)
						exceeded[auth]++
					}
					time.Sleep(5 * time.Millisecond)
				}
				is.Equal(exceeded["Bearer key-of-kiln"], 0)
				is.Equal(exceeded["Bearer "+apiKey] > 0, several && c.divided)
			})
		})
	}
}
