package isolator

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxParts bounds the parts of a prompt that are looked at, maxPartBytes the bytes of an id that is kept.
	maxParts     = 64
	maxPartBytes = 32
)

// verdict is what hosts do with requests that have a part.
type verdict struct {
	isolated, confirmed, tentative bool
	workspace                      uint64
}

// Part is the id of a part of a prompt in lower case, or its hash if it is longer than maxPartBytes.
type Part string

// ParsePart returns the part with an id.
func ParsePart(id string) Part {
	id = strings.ToLower(strings.TrimSpace(id))
	if len(id) > maxPartBytes {
		return Part("#" + strconv.FormatUint(xxhash.Sum64String(id), 16))
	}
	return Part(id)
}

// ParseParts returns the parts in a list of ID:TOKENS, separated by commas, each once. The last one is
// left out: it is the request's own, or that of its session.
func ParseParts(list string) []Part {
	var out []Part
	for range maxParts {
		entry, rest, more := strings.Cut(list, ",")
		if !more {
			break
		}
		list = rest
		id, _, _ := strings.Cut(entry, ":")
		if p := ParsePart(id); p != "" && !slices.Contains(out, p) {
			out = append(out, p)
		}
	}
	return out
}

// Workspace returns the hash of a workspace's name, which is never 0.
func Workspace(name string) uint64 { return max(1, xxhash.Sum64String(name)) }

// isSame reports whether another host's record is of the same crash.
func (c *Crash) isSame(o Crash) bool {
	return c.Upstream == o.Upstream && max(c.At-o.At, o.At-c.At) < sameCrash
}

// addCrash adds a crash, or its workspaces to the same crash. The newest crashes are kept, in order.
func (s *State) addCrash(c Crash) {
	at := slices.IndexFunc(s.Crashes, c.isSame)
	if at < 0 {
		c.Workspaces, c.Requests = addHashes(nil, c.Workspaces), addHashes(nil, c.Requests)
		s.Crashes = insertCrash(s.Crashes, c, maxCrashes)
		return
	}
	known := &s.Crashes[at]
	// Hosts that learn of a crash late, or through others, date it later.
	known.At = min(known.At, c.At)
	known.Workspaces = addHashes(known.Workspaces, c.Workspaces)
	known.Requests = addHashes(known.Requests, c.Requests)
	slices.SortFunc(s.Crashes, func(a, b Crash) int { return cmp.Compare(a.At, b.At) })
}

// addHashes adds hashes to a list of two at most.
func addHashes(list, more []uint64) []uint64 {
	for _, h := range more {
		if len(list) < 2 && !slices.Contains(list, h) {
			list = append(list, h)
		}
	}
	return list
}

// insertCrash adds a crash to a list in order, which keeps the newest limit ones.
func insertCrash(list []Crash, c Crash, limit int) []Crash {
	at, _ := slices.BinarySearchFunc(list, c, func(a, b Crash) int { return cmp.Compare(a.At, b.At) })
	list = slices.Insert(list, at, c)
	return list[max(0, len(list)-limit):]
}

// crashesWithout returns the crashes at which another part was not in flight.
func (s *State) crashesWithout(o *State) []Crash {
	var out []Crash
	for _, c := range s.Crashes {
		if !slices.ContainsFunc(o.Crashes, c.isSame) {
			out = append(out, c)
		}
	}
	return out
}

// verdict returns the verdict on the part; zero unless it is isolated.
func (s *State) verdict() verdict {
	if !s.IsIsolated() {
		return verdict{}
	}
	return verdict{isolated: true, confirmed: s.Confirmed, tentative: s.Tentative, workspace: s.Workspace}
}

// isBefore reports whether the part is isolated rather than another one with as many crashes: the one that is
// further back in prompts, as parts before it are shared by more requests, else the one that fewer have.
func (s *State) isBefore(o *State) bool {
	return cmp.Or(cmp.Compare(o.Depth, s.Depth), cmp.Compare(s.requests, o.requests), cmp.Compare(o.Part, s.Part)) < 0
}

// answer records an answer, and returns the state if that released the part.
func (s *State) answer(now time.Duration) []State {
	was := s.IsIsolated()
	s.AnsweredAt = max(s.AnsweredAt, now)
	s.Crashes = slices.DeleteFunc(s.Crashes, func(c Crash) bool { return c.At <= s.AnsweredAt })
	if was && !s.IsIsolated() {
		s.Confirmed, s.Tentative, s.Samples = false, false, 0
		return []State{s.clone()}
	}
	return nil
}

// merge adds what another host knows of the part.
func (s *State) merge(o *State) {
	for _, c := range o.Crashes {
		if c.At > s.AnsweredAt {
			s.addCrash(c)
		}
	}
	s.Depth = max(s.Depth, o.Depth)
	switch {
	case !o.IsIsolated():
	case !s.IsIsolated():
		s.Workspace, s.Tentative = o.Workspace, o.Tentative
	case s.Workspace != o.Workspace:
		s.Workspace = 0
		fallthrough
	default:
		s.Tentative = s.Tentative && o.Tentative
	}
	s.IsolatedAt = max(s.IsolatedAt, o.IsolatedAt)
	s.Confirmed = s.IsIsolated() && (s.Confirmed || o.Confirmed)
	s.SampledAt, s.Samples = max(s.SampledAt, o.SampledAt), max(s.Samples, o.Samples)
	s.RequestedAt = max(s.RequestedAt, o.RequestedAt)
	s.answer(o.AnsweredAt)
}

func (s *State) clone() State {
	out := *s
	out.Crashes = slices.Clone(s.Crashes)
	for i := range out.Crashes {
		out.Crashes[i].Workspaces = slices.Clone(out.Crashes[i].Workspaces)
		out.Crashes[i].Requests = slices.Clone(out.Crashes[i].Requests)
	}
	return out
}

// moments returns the times of crashes, given in order, without those that follow another within moment.
func moments(list []Crash) []time.Duration {
	var out []time.Duration
	for _, c := range list {
		if len(out) == 0 || c.At-out[len(out)-1] >= moment {
			out = append(out, c.At)
		}
	}
	return out
}

// soleWorkspace returns the workspace of all requests at crashes; 0 if there are several.
func soleWorkspace(list []Crash) uint64 {
	var out uint64
	for _, c := range list {
		for _, w := range c.Workspaces {
			if out != 0 && w != out {
				return 0
			}
			out = w
		}
	}
	return out
}

// ofDistinctRequests returns crashes, given in order, without those at which only requests were in flight that were so at
// earlier ones: a request moves to an upstream that is lost next where many are, and what it is by itself tracker.Suspects
// decides.
func ofDistinctRequests(list []Crash) []Crash {
	counted := make(map[uint64]bool)
	return slices.DeleteFunc(list, func(c Crash) bool {
		isNew := len(c.Requests) == 0
		for _, r := range c.Requests {
			isNew = isNew || !counted[r]
			counted[r] = true
		}
		return !isNew
	})
}

// compareTrue orders true before false.
func compareTrue(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}

// least returns the key of the least entry.
func least[K comparable, V any](m map[K]V, compare func(a, b V) int) K {
	var out K
	first := true
	for k, v := range m {
		if first || compare(v, m[out]) < 0 {
			out, first = k, false
		}
	}
	return out
}
