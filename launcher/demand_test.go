package launcher_test

import (
	"context"
	"fmt"
	"math"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sardineward/sardineward/faker"
	"github.com/sardineward/sardineward/matcher"
	"github.com/sardineward/sardineward/peer"
)

// setPriority puts a configuration in force in which a route has a priority.
func (b *testbed) setPriority(route string, priority int) {
	next := b.cfg
	next.Version++
	next.Routes = append([]matcher.Route(nil), b.cfg.Routes...)
	for i := range next.Routes {
		if next.Routes[i].Name == route {
			next.Routes[i].Priority = priority
		}
	}
	b.cfg = next
	first := next
	b.source.Configure(&first)
	time.Sleep(time.Second)
}

// reportedDemand returns the demand that the host reports.
func (b *testbed) reportedDemand() []*peer.Demand {
	b.t.Helper()
	req := &peer.ShareRequest{Host: "other", DataCentre: "here", Report: &peer.Report{Scope: peer.Scope_SCOPE_HOST}}
	resp, err := peer.NewShareProtobufClient("http://10.0.0.1:82", b.client).Exchange(context.Background(), req)
	is.New(b.t).NoErr(err)
	return resp.Report.Demands
}

// TestDemandReported checks that demand is counted by rank, where ranks compete only, and that what
// is refused counts as asked for and not as admitted.
func TestDemandReported(t *testing.T) {
	runHost(t, 0, func(b *testbed) {
		is := is.New(t)
		b.request(http.MethodPost, "/book/1", "first", nil)
		is.Equal(len(b.reportedDemand()), 0) // one rank and one workspace
		b.setPriority("/book/", 2)
		for i := range 20 {
			b.request(http.MethodPost, "/book/1", fmt.Sprint("b", i), nil)
			b.request(http.MethodGet, "/look/1", fmt.Sprint("l", i), nil)
			b.request(http.MethodPost, "/stream/1", fmt.Sprint("s", i), nil)
			time.Sleep(100 * time.Millisecond)
		}
		list := b.reportedDemand()
		is.Equal(len(list), 2) // the streams have one rank
		for _, d := range list {
			is.Equal(d.Service, "desk")
			is.Equal(d.Workspace, "mill")
			is.True(d.Rank == 0 || d.Rank == 2)
			is.True(math.Abs(float64(d.Arrivals-d.Admitted)) < 0.1)
			is.True(d.Arrivals > 1 && d.Arrivals < 10) // one each 320 ms, the streams take 200 ms
		}
		for id := range b.stages {
			b.source.DeleteUpstream(id)
		}
		time.Sleep(2 * time.Second)
		b.injectFaults("desk", faker.StageFaultOverloaded)
		is.Equal(b.request(http.MethodPost, "/book/1", "refused", nil).status, http.StatusServiceUnavailable)
		refused := b.reportedDemand()[0]
		is.True(refused.Arrivals-refused.Admitted > 1)
	})
}
