package watcher

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/sardineward/sardineward/builder"
	"github.com/sardineward/sardineward/checker"
)

// TestNeverBack. The platform fails over to an old copy, and a host that reads
// it again is given the revision before the one in force. It put that back in
// force, and callers met a configuration that operators had replaced.
func TestNeverBack(t *testing.T) {
	src, err := builder.Canonical(&builder.Configuration{})
	is := is.New(t)
	is.NoErr(err)
	var seen []int64
	w := &Watcher{
		Apply:   func(rev int64, _ *builder.Configuration) { seen = append(seen, rev) },
		Checker: &checker.Checker{Fail: func(v checker.Violation) { t.Error(v) }},
	}
	w.Start()
	part, err := compress(src)
	is.NoErr(err)
	get := func(context.Context, string) ([]byte, error) { return part, nil }
	for _, rev := range []int64{1, 3, 2, 1, 3, 4, 2} {
		head, err := json.Marshal(Head{Revision: rev, Parts: []string{hashOf(part)}})
		is.NoErr(err)
		is.NoErr(w.take(t.Context(), head, get))
	}
	is.Equal(seen, []int64{1, 3, 4})
}

// TestForeignPart. A peer hands out a part whose bytes are not what its name
// says. It must not come in force.
func TestForeignPart(t *testing.T) {
	w := &Watcher{Apply: func(int64, *builder.Configuration) { t.Error("applied") }}
	w.Start()
	head, err := json.Marshal(Head{Revision: 1, Parts: []string{hashOf([]byte("{}"))}})
	is := is.New(t)
	is.NoErr(err)
	err = w.take(t.Context(), head, func(context.Context, string) ([]byte, error) { return []byte("[]"), nil })
	is.True(err != nil)
	is.True(!errors.Is(err, context.Canceled))
	is.Equal(w.Revision(), int64(0))
}

// TestCut changes one upstream in the middle of thousands, and checks how much
// of the configuration hosts must fetch for it.
func TestCut(t *testing.T) {
	is := is.New(t)
	text := func(n, changed int) []byte {
		cfg := &builder.Configuration{}
		for i := range n {
			u := builder.Upstream{
				Name: fmt.Sprintf("engine-%05d", i), Address: fmt.Sprintf("10.1.%d.%d:80", i/250, i%250), DataCentre: "sfax-north",
				Model: "m", Accelerator: "k", FirstLayer: i % 4 * 8, LastLayer: i%4*8 + 7,
			}
			if i == changed {
				u.Address = "10.0.0.2:80"
			}
			if i != changed+1 {
				cfg.Upstreams = append(cfg.Upstreams, u)
			}
		}
		src, err := builder.Canonical(cfg)
		is.NoErr(err)
		return src
	}
	for _, n := range []int{100, 1000, 10000} {
		had := make(map[string]bool)
		before := cut(text(n, -1))
		is.Equal(bytes.Join(before, nil), text(n, -1))
		for _, p := range before {
			had[hashOf(p)] = true
		}
		after := cut(text(n, n/2))
		fetched, size := 0, 0
		for _, p := range after {
			size += len(p)
			if !had[hashOf(p)] {
				packed, err := compress(p)
				is.NoErr(err)
				fetched += len(packed)
			}
		}
		head := len(after) * (16 + 3)
		t.Logf("%d upstreams: %d bytes in %d parts; a change costs %d bytes of parts and %d of head", n, size, len(after), fetched, head)
		is.True(fetched <= partMost/4)
	}
}
