package matcher

import (
	"errors"
	"fmt"
)

// Change leads from one version of a configuration to a later one.
type Change struct {
	From int64 `json:"from"`
	To   int64 `json:"to"`
	// FromSum and ToSum are the digests of the two configurations; at least 1.
	FromSum uint64 `json:"fromSum"`
	ToSum   uint64 `json:"toSum"`
	// Segments hold the routes of the later configuration in their order. A route of the former one
	// that is in none of them is removed.
	Segments []Segment `json:"segments"`
	// Services, Workspaces and Limits are nil if they have not changed.
	Services   *[]Service   `json:"services,omitempty"`
	Workspaces *[]Workspace `json:"workspaces,omitempty"`
	Limits     *Limits      `json:"limits,omitempty"`
}

// Segment is a run of routes: Count routes of the former configuration from index First on, followed by the
// Added ones.
type Segment struct {
	First int     `json:"first,omitempty"`
	Count int     `json:"count,omitempty"`
	Added []Route `json:"added,omitempty"`
}

// errOtherContent means that the digest of a configuration differs from the one that a change names for it.
var errOtherContent = errors.New("matcher: digest of a configuration differs from that of its change")

// NewChange returns the change between two configurations with their digests.
func NewChange(from, to *Configuration, fromDigest, toDigest *Digest) *Change {
	out := &Change{From: from.Version, To: to.Version, FromSum: fromDigest.Sum, ToSum: toDigest.Sum}
	at := make(map[uint64]int, len(fromDigest.routes))
	for i, h := range fromDigest.routes {
		at[h] = i
	}
	var seg Segment
	for i, h := range toDigest.routes {
		next := seg.First + seg.Count
		follows := seg.Count > 0 && next < len(fromDigest.routes) && fromDigest.routes[next] == h
		known, found := at[h]
		switch {
		case follows && len(seg.Added) == 0:
			seg.Count++
		case found:
			out.Segments = appendSegment(out.Segments, seg)
			seg = Segment{First: known, Count: 1}
		default:
			seg.Added = append(seg.Added, to.Routes[i])
		}
	}
	out.Segments = appendSegment(out.Segments, seg)
	if fromDigest.services != toDigest.services {
		out.Services = nonNil(to.Services)
	}
	if fromDigest.workspaces != toDigest.workspaces {
		out.Workspaces = nonNil(to.Workspaces)
	}
	if fromDigest.limits != toDigest.limits {
		out.Limits = &to.Limits
	}
	return out
}

// nonNil returns a pointer to a copy of list that is never nil, so that its JSON is not null: null would mean
// that the list has not changed.
func nonNil[T any](list []T) *[]T {
	list = append([]T{}, list...)
	return &list
}

// appendSegment appends a segment unless it is empty.
func appendSegment(list []Segment, s Segment) []Segment {
	if s.Count == 0 && len(s.Added) == 0 {
		return list
	}
	return append(list, s)
}

// Check returns an error if a change received from a peer is invalid by itself.
func (c *Change) Check() error {
	if c.From <= 0 || c.To <= c.From || c.FromSum == 0 || c.ToSum == 0 {
		return fmt.Errorf("matcher: invalid change from version %d (digest %x) to version %d (digest %x)", c.From, c.FromSum, c.To, c.ToSum)
	}
	for i, s := range c.Segments {
		if s.First < 0 || s.Count < 0 {
			return fmt.Errorf("matcher: segment %d of a change has %d routes from index %d on", i, s.Count, s.First)
		}
		for j := range s.Added {
			if r := &s.Added[j]; r.Prefix == "" || len(r.Splits) == 0 {
				return fmt.Errorf("matcher: route %q of a change has no prefix or no service", r.Name)
			}
		}
	}
	return nil
}

// Apply returns the later configuration and its digest. It returns an error if from, whose digest is given, is
// not the former configuration, or the result is not the later one. The result shares routes with from.
func (c *Change) Apply(from *Configuration, digest *Digest) (*Configuration, *Digest, error) {
	if from.Version != c.From || digest.Sum != c.FromSum {
		return nil, nil, fmt.Errorf("%w: version %d, expected %d", errOtherContent, from.Version, c.From)
	}
	out := *from
	out.Version, out.Routes = c.To, nil
	to := &Digest{services: digest.services, workspaces: digest.workspaces, limits: digest.limits}
	var buf []byte
	for i, s := range c.Segments {
		if s.First > len(from.Routes) || s.Count > len(from.Routes)-s.First {
			return nil, nil, fmt.Errorf("matcher: segment %d of a change keeps %d routes from index %d on, of %d", i, s.Count, s.First, len(from.Routes))
		}
		out.Routes = append(out.Routes, from.Routes[s.First:s.First+s.Count]...)
		to.routes = append(to.routes, digest.routes[s.First:s.First+s.Count]...)
		for j := range s.Added {
			var h uint64
			h, buf = hashRoute(&s.Added[j], buf)
			to.routes = append(to.routes, h)
		}
		out.Routes = append(out.Routes, s.Added...)
	}
	if c.Services != nil {
		out.Services, to.services = *c.Services, hashList(*c.Services)
	}
	if c.Workspaces != nil {
		out.Workspaces, to.workspaces = *c.Workspaces, hashList(*c.Workspaces)
	}
	if c.Limits != nil {
		out.Limits, to.limits = *c.Limits, hashJSON(*c.Limits)
	}
	if to.setSum(); to.Sum != c.ToSum {
		return nil, nil, fmt.Errorf("%w: version %d", errOtherContent, c.To)
	}
	return &out, to, nil
}

// ShareRoutes returns cfg with the routes that former has too taken from former, so that both together need
// memory only for the routes that differ.
func ShareRoutes(cfg *Configuration, digest *Digest, former *Configuration, formerDigest *Digest) *Configuration {
	at := make(map[uint64]int, len(formerDigest.routes))
	for i, h := range formerDigest.routes {
		at[h] = i
	}
	out := *cfg
	out.Routes = make([]Route, len(cfg.Routes))
	for i, h := range digest.routes {
		if j, ok := at[h]; ok {
			out.Routes[i] = former.Routes[j]
		} else {
			out.Routes[i] = cfg.Routes[i]
		}
	}
	return &out
}
