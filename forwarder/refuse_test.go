package forwarder

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sardineward/sardineward/balancer"
	"github.com/sardineward/sardineward/isolator"
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

// TestNotRunBesideSuspect guards against refusing a request that no upstream has run since a part of its prompt was in flight
// at two crashes.
func TestNotRunBesideSuspect(t *testing.T) {
	for v, want := range map[verdict]bool{verdictNotRun: true, verdictMayHaveRun: false} {
		t.Run(v.String(), func(t *testing.T) {
			is := is.New(t)
			k, budget := newStream(0)
			w := httptest.NewRecorder()
			k.w, k.Tables, k.parts = w, ageless{k.table}, isolator.ParseParts("a:1,b:1")
			for range 10 {
				budget.RecordRequest(k.Now())
			}
			for n := range 2 {
				at := k.Now() - time.Duration(2-n)*time.Second
				k.Isolator.RecordCrash(at, k.parts, isolator.Workspace(""), fmt.Sprint("upstream-", n))
			}
			is.Equal(k.retryOrRefuse(t.Context(), v), want)
			is.Equal(strings.Contains(w.Body.String(), "crashes upstreams"), !want)
		})
	}
}
