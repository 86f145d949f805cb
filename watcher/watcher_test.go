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

// TestNeverBack guards against a host that goes back to an older revision because the platform
// answers from an old copy after a failover.
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
		head, err := json.Marshal(Head{Revision: rev, Parts: []string{hashPart(part)}})
		is.NoErr(err)
		is.NoErr(w.applyHead(t.Context(), head, get))
	}
	is.Equal(seen, []int64{1, 3, 4})
}

// TestPartHashMismatch guards against applying a part whose bytes don't match its hash.
func TestPartHashMismatch(t *testing.T) {
	w := &Watcher{Apply: func(int64, *builder.Configuration) { t.Error("applied") }}
	w.Start()
	head, err := json.Marshal(Head{Revision: 1, Parts: []string{hashPart([]byte("{}"))}})
	is := is.New(t)
	is.NoErr(err)
	err = w.applyHead(t.Context(), head, func(context.Context, string) ([]byte, error) { return []byte("[]"), nil })
	is.True(err != nil)
	is.True(!errors.Is(err, context.Canceled))
	is.Equal(w.Revision(), int64(0))
}

// TestSplitParts changes one upstream in the middle of thousands, and checks how many bytes of
// parts hosts must fetch for it.
func TestSplitParts(t *testing.T) {
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
		known := make(map[string]bool)
		before := splitParts(text(n, -1))
		is.Equal(bytes.Join(before, nil), text(n, -1))
		for _, p := range before {
			known[hashPart(p)] = true
		}
		after := splitParts(text(n, n/2))
		fetched, size := 0, 0
		for _, p := range after {
			size += len(p)
			if !known[hashPart(p)] {
				packed, err := compress(p)
				is.NoErr(err)
				fetched += len(packed)
			}
		}
		head := len(after) * (16 + 3)
		t.Logf("%d upstreams: %d bytes in %d parts; a change costs %d bytes of parts and %d of head", n, size, len(after), fetched, head)
		is.True(fetched <= maxPartBytes/4)
	}
}
