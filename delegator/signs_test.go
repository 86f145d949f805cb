package delegator_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/sardineward/sardineward/delegator"
)

// TestShouldDelegate guards against requests that are refused while another host could serve them, and against
// requests that wander between hosts.
func TestShouldDelegate(t *testing.T) {
	for name, tc := range map[string]struct {
		signs delegator.Signs
		want  bool
	}{
		"no sign":                          {delegator.Signs{OthersReach: true, OwnReach: true}, false},
		"all upstreams lost":               {delegator.Signs{Lost: true, OthersReach: true}, true},
		"lost for all hosts":               {delegator.Signs{Lost: true}, false},
		"delegated already":                {delegator.Signs{Lost: true, Delegated: true, OthersReach: true}, false},
		"no other host took it":            {delegator.Signs{FoundNoUpstream: true, Refused: true, OthersReach: true}, false},
		"this service lost":                {delegator.Signs{FoundNoUpstream: true, OthersReach: true}, true},
		"this service lost for all hosts":  {delegator.Signs{FoundNoUpstream: true}, false},
		"others refused the service":       {delegator.Signs{FoundNoUpstream: true, Unserved: true, OthersReach: true}, false},
		"upstreams reached but not usable": {delegator.Signs{FoundNoUpstream: true, OthersReach: true, OwnReach: true}, false},
		"the same and dials fail":          {delegator.Signs{FoundNoUpstream: true, Suspicious: true, OthersReach: true, OwnReach: true}, true},
		"one failed dial":                  {delegator.Signs{Suspicious: true, FailedDials: 1, OthersReach: true, OwnReach: true}, false},
		"two failed dials":                 {delegator.Signs{Suspicious: true, FailedDials: 2, OthersReach: true, OwnReach: true}, true},
	} {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(tc.signs.ShouldDelegate(), tc.want)
		})
	}
}

// TestUnserved guards against each request for a service that is down everywhere being offered to host after host.
func TestUnserved(t *testing.T) {
	is := is.New(t)
	d, _ := newDelegator(1)
	is.True(!d.IsUnserved(0, "desk"))
	d.RecordUnserved(0, "desk")
	is.True(d.IsUnserved(0, "desk"))
	is.True(!d.IsUnserved(0, "model"))
	is.True(!d.IsUnserved(1e9, "desk"))
}

// TestExcludedForService guards against a host that is not asked for one service since it does not reach another.
func TestExcludedForService(t *testing.T) {
	is := is.New(t)
	d, hosts := newDelegator(1)
	d.Exclude(hosts[0], "desk", 2e9)
	h, ok := d.Choose(0, "model", nil)
	is.True(ok)
	is.Equal(h, hosts[0])
	h, ok = d.Choose(0, "desk", nil)
	is.True(ok)
	is.True(h != hosts[0])
	h, _ = d.Choose(3e9, "desk", nil) // it is chosen last for a while
	is.True(h != hosts[0])
}

// TestExcludedLast guards against a host that is asked again before others which may serve, since hosts of all data
// centres did not serve lately.
func TestExcludedLast(t *testing.T) {
	is := is.New(t)
	d, hosts := newDelegator(3)
	for n := 0; n < len(hosts); n += 3 { // in each data centre
		d.Exclude(hosts[n], "desk", 2e9)
		d.Exclude(hosts[n+1], "desk", 4e9)
	}
	for range 20 {
		h, ok := d.Choose(3e9, "desk", nil)
		is.True(ok)
		is.True(h == hosts[2] || h == hosts[5] || h == hosts[8])
		d.Release(h)
	}
}
