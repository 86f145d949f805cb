package matcher

import (
	"encoding/binary"
	"encoding/json"

	"github.com/cespare/xxhash/v2"
)

// Digest identifies the content of a configuration. Hosts compare digests because a version may come
// again with another content after the source was restored from a copy.
type Digest struct {
	// Sum covers everything but the version; at least 1, as 0 stands for no digest between hosts.
	Sum uint64
	// routes holds the hash of each route, in their order.
	routes []uint64
	// services, workspaces and limits are hashes of these.
	services, workspaces, limits uint64
}

// NewDigest returns the digest of a configuration.
func NewDigest(cfg *Configuration) *Digest {
	d := &Digest{routes: make([]uint64, len(cfg.Routes)), services: hashList(cfg.Services), workspaces: hashList(cfg.Workspaces), limits: hashJSON(cfg.Limits)}
	var buf []byte
	for i := range cfg.Routes {
		d.routes[i], buf = hashRoute(&cfg.Routes[i], buf)
	}
	d.setSum()
	return d
}

// setSum computes Sum from the other fields.
func (d *Digest) setSum() {
	h := xxhash.New()
	var b [8]byte
	write := func(n uint64) {
		binary.LittleEndian.PutUint64(b[:], n)
		_, _ = h.Write(b[:]) // a hash accepts all writes
	}
	for _, r := range d.routes {
		write(r)
	}
	write(d.services)
	write(d.workspaces)
	write(d.limits)
	d.Sum = max(1, h.Sum64())
}

// hashJSON returns a hash of the JSON of v. Values without JSON, which no host can send, all have the
// same hash.
func hashJSON(v any) uint64 {
	b, err := json.Marshal(v)
	if err != nil {
		return 0
	}
	return xxhash.Sum64(b)
}

// hashList is hashJSON for lists. JSON tells a nil list from an empty one, which mean the same here.
func hashList[T any](list []T) uint64 {
	if len(list) == 0 {
		return 0
	}
	return hashJSON(list)
}

// hashRoute returns a hash of all fields of a route, and buf for the next call. It does not use JSON, which is
// too slow for thousands of routes.
func hashRoute(r *Route, buf []byte) (uint64, []byte) {
	text := func(s string) { buf = append(binary.AppendUvarint(buf, uint64(len(s))), s...) }
	number := func(n int64) { buf = binary.AppendVarint(buf, n) }
	flag := func(f bool) {
		n := byte(0)
		if f {
			n = 1
		}
		buf = append(buf, n)
	}
	buf = buf[:0]
	text(r.Name)
	text(r.Host)
	text(r.Prefix)
	number(int64(r.Kind))
	number(int64(r.Timeout))
	number(int64(r.TargetLatency))
	number(int64(r.MaxGap))
	number(int64(r.Priority))
	number(int64(r.MaxAttempts))
	flag(r.Public)
	flag(r.Resumable)
	for _, s := range r.Splits {
		text(s.Service)
		number(int64(s.Weight))
	}
	return xxhash.Sum64(buf), buf
}
