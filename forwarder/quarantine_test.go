package forwarder

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/sardineward/sardineward/balancer"
	"github.com/sardineward/sardineward/connector"
	"github.com/sardineward/sardineward/isolator"
	"github.com/sardineward/sardineward/meter"
	"github.com/sardineward/sardineward/tracker"
)

// TestCallerGoneInCheck guards against marking an upstream as crashed because the caller
// disconnected during the check.
func TestCallerGoneInCheck(t *testing.T) {
	is := is.New(t)
	ctx, disconnect := context.WithCancel(context.Background())
	b := &balancer.Balancer{Rand: rand.New(rand.NewPCG(1, 1))}
	b.UpdateUpstreams([]balancer.Upstream{{ID: "one", Service: "desk", Address: "10.0.0.1:1", StartedAt: 1}}, nil)
	dial := func(ctx context.Context, _, _ string) (net.Conn, error) {
		disconnect()
		<-ctx.Done()
		return nil, ctx.Err()
	}
	f := &Forwarder{
		Balancer: b, Pool: &connector.Pool{Dial: dial}, Suspects: new(tracker.Suspects),
		Now: func() time.Duration { return time.Second }, Log: zerolog.Nop(),
	}
	k := &call{Forwarder: f, r: new(http.Request), id: "r", fingerprint: 7}
	k.detectCrash(ctx, balancer.Hop{ID: "one", Address: "10.0.0.1:1"}, false)
	is.True(!b.HasStopped("one"))
	is.Equal(len(b.DeadUpstreams(0, 1)), 0)
	is.Equal(len(f.Suspects.Active(time.Now(), 7)), 0)
}

// TestResetDial guards against taking a link that resets connections for crashes, and requests over it for their
// cause.
func TestResetDial(t *testing.T) {
	for _, c := range []struct {
		err     error
		strikes int
	}{{syscall.ECONNRESET, 0}, {syscall.ECONNREFUSED, 1}} {
		t.Run(c.err.Error(), func(t *testing.T) {
			is := is.New(t)
			b := &balancer.Balancer{Rand: rand.New(rand.NewPCG(1, 1))}
			b.UpdateUpstreams([]balancer.Upstream{{ID: "one", Service: "desk", Address: "10.0.0.1:1", StartedAt: 1}}, nil)
			dial := func(context.Context, string, string) (net.Conn, error) {
				return nil, &net.OpError{Op: "dial", Net: "tcp", Err: c.err}
			}
			f := &Forwarder{
				Balancer: b, Pool: &connector.Pool{Dial: dial}, Suspects: new(tracker.Suspects), Meter: meter.New(nil, nil),
				Now: func() time.Duration { return time.Minute }, Log: zerolog.Nop(),
			}
			k := &call{Forwarder: f, r: new(http.Request), id: "r", fingerprint: 7, parts: isolator.ParseParts("lead:1,own:2")}
			k.detectCrash(context.Background(), balancer.Hop{ID: "one", Address: "10.0.0.1:1"}, false)
			is.Equal(len(f.Suspects.Active(time.Now(), 7)), c.strikes)
			is.Equal(len(f.Isolator.States(1)), c.strikes)
		})
	}
}

// TestRequestBesideCrashingPart guards against refusing a sound request, as it returns, for crashes that a part
// of other prompts explains.
func TestRequestBesideCrashingPart(t *testing.T) {
	is := is.New(t)
	now := time.Minute
	f := &Forwarder{Suspects: new(tracker.Suspects), Now: func() time.Duration { return now }, Log: zerolog.Nop()}
	f.Suspects.Explained = f.ExplainsCrash
	quarantined := func() bool {
		_, ok := f.Suspects.Quarantined(time.Now(), 7)
		return ok
	}
	for n := range 3 {
		f.Suspects.Add(tracker.NewStrike(time.Now(), 7, fmt.Sprint("upstream-", n), 1))
	}
	is.True(quarantined())
	for n := range 3 {
		f.Isolator.RecordCrash(now+time.Duration(n-3)*100*time.Millisecond, isolator.ParseParts("bad:1,own:2"), isolator.Workspace("mill"), fmt.Sprint("upstream-", n))
	}
	is.Equal(len(f.Isolator.Isolated()), 1)
	is.True(!quarantined())
}
