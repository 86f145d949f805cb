package forwarder

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sardineward/sardineward/balancer"
	"github.com/sardineward/sardineward/matcher"
)

// staleTable is a TableSource whose table was last known to be current long ago.
type staleTable struct{ ageless }

func (staleTable) Age() time.Duration { return time.Minute }

// TestSentIsNotRefusedAsNotRun guards against a request that was sent to an upstream and is refused as not run when it
// can't be sent again.
func TestSentIsNotRefusedAsNotRun(t *testing.T) {
	for name, prepare := range map[string]func(k *call){
		"host cut off": func(k *call) {
			for n := range 12 {
				k.Detector.RecordFailure(k.Now()-time.Second+time.Duration(n)*50*time.Millisecond, "one:80", true)
			}
		},
		"keys too old": func(k *call) {
			k.keyRequired, k.MaxKeyAge = true, time.Second
			k.Tables = staleTable{ageless{&matcher.Table{RequiresKey: true}}}
		},
		"no upstream": func(k *call) { k.Balancer.SetDead(k.Now(), "one", true) },
	} {
		for runs, status := range map[int]int{0: http.StatusServiceUnavailable, 1: http.StatusBadGateway} {
			t.Run(fmt.Sprintf("%s, %d runs", name, runs), func(t *testing.T) {
				is := is.New(t)
				k := rankedCall(new(bytes.Buffer), 0, 0)()
				k.runs = runs
				prepare(k)
				is.True(k.acquire(balancer.Requirements{}) == nil)
				is.Equal(k.w.(*httptest.ResponseRecorder).Code, status)
			})
		}
	}
}
