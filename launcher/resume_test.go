package launcher_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sardineward/sardineward/faker"
	"github.com/sardineward/sardineward/forwarder"
)

// breakThenReject makes each stream break at its first upstream, and the next attempts to go on with it be rejected.
func (fl *fleet) breakThenReject(rejections int) {
	var mu sync.Mutex
	attempts := make(map[string]int)
	for _, s := range fl.stages {
		s.SetFaultOf(func(r *http.Request) faker.StageFault {
			id := r.Header.Get(forwarder.DefaultHeaders.RequestID)
			if !strings.HasPrefix(id, "breaks-") {
				return faker.StageFaultNone
			}
			mu.Lock()
			defer mu.Unlock()
			attempts[id]++
			switch n := attempts[id]; {
			case n == 1:
				return faker.StageFaultBrokenStream
			case n <= 1+rejections:
				return faker.StageFaultOverloaded
			default:
				return faker.StageFaultNone
			}
		})
	}
}

// TestStreamsRejectedWhileResumed guards against begun streams that are cut, since upstreams are full for the moment in
// which they are to go on with them.
func TestStreamsRejectedWhileResumed(t *testing.T) {
	for _, hosts := range []int{1, 4, 24} {
		t.Run(fmt.Sprint(hosts, " hosts"), func(t *testing.T) {
			runSmallInParallel(t, hosts)
			runFleetWith(t, hosts, 3, "/look/1", 10, func(fl *fleet) { fl.events = 50 }, func(_ *is.I, fl *fleet) {
				time.Sleep(2 * time.Second)
				fl.breakThenReject(6)
				fl.assertWhole(fl.sendStreams(fl.hosts[0], 5))
				fl.assertRetryRule()
			})
		})
	}
}
