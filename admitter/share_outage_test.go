package admitter_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sardineward/sardineward/admitter"
)

// TestSharesOfHostStartedInOutage guards against shares that keep the capacity of an outage for long
// at a host that does not know what was admitted before.
func TestSharesOfHostStartedInOutage(t *testing.T) {
	d := new(admitter.Demands)
	asked, refused := 0, 0
	for now := 10 * time.Millisecond; now < 12*time.Second; now += 10 * time.Millisecond {
		key := admitter.DemandKey{Service: "desk", Workspace: []string{"mill", "kiln"}[now/(10*time.Millisecond)%2]}
		d.RecordArrival(now, key)
		exceeds := d.ExceedsShare(now, key)
		switch {
		case now > 8*time.Second: // four seconds after the outage
			asked++
			if exceeds {
				refused++
			}
		case exceeds:
		case now < 4*time.Second && now%(70*time.Millisecond) != 0:
			d.RecordLack(now, key)
		}
		if !exceeds && (now >= 4*time.Second || now%(70*time.Millisecond) == 0) {
			d.RecordAdmitted(now, key)
		}
	}
	t.Logf("%d of %d refused from four seconds after the outage on", refused, asked)
	is.New(t).True(refused <= asked/50)
}

// TestSharesAfterOutage guards against shares that began while upstreams were away and go on refusing
// workspaces after the capacity is back.
func TestSharesAfterOutage(t *testing.T) {
	is := is.New(t)
	d := new(admitter.Demands)
	asked, refused := 0, 0
	for i := range 1600 { // 100 requests a second of two workspaces for 16 s
		now := time.Second + time.Duration(i)*10*time.Millisecond
		key := admitter.DemandKey{Service: "desk", Workspace: []string{"mill", "kiln"}[i%2]}
		d.RecordArrival(now, key)
		away := now > 6*time.Second && now < 11*time.Second
		switch {
		case d.ExceedsShare(now, key):
			if now > 13*time.Second {
				refused++
			}
		case away && now > 8*time.Second && i%10 < 2:
			d.RecordLack(now, key)
		case away && i%10 < 9: // refused for a backoff of the upstreams, which is no lack of capacity
		default:
			d.RecordAdmitted(now, key)
		}
		if now > 13*time.Second {
			asked++
		}
	}
	t.Logf("%d of %d refused from two seconds after the outage on", refused, asked)
	is.True(refused <= asked/50)
}
