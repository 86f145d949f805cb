package gossiper

import (
	"cmp"
	"math/bits"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/sardineward/sardineward/peer"
)

// digestBuckets is how many hashes describe the state. At 3,200 hosts a bucket
// holds some 50 hosts, about 4 KB, so a difference is repaired in a few
// exchanges.
const digestBuckets = 64

type itemKey struct {
	kind peer.ItemKind
	key  string
}

type stored struct {
	item *peer.Item
	// hash is what the item adds to its bucket's digest.
	hash uint32
	// size is the item's bytes in a message.
	size int
}

// State is what a host knows of the others: a last-writer-wins map of items,
// with a digest to find differences, and a queue of what is still news.
type State struct {
	mu     sync.Mutex
	items  map[itemKey]*stored
	digest [digestBuckets]uint32
	hosts  int
	// news counts how often an item was sent since it changed.
	news map[itemKey]int
}

// NewState returns an empty state.
func NewState() *State {
	return &State{items: make(map[itemKey]*stored), news: make(map[itemKey]int)}
}

// Merge takes in items and returns those that were new or newer. They are passed
// on to others as news, unless they came in bulk: whoever lacks those finds that
// by its digest.
func (s *State) Merge(now time.Time, items []*peer.Item, news bool) []*peer.Item {
	s.mu.Lock()
	defer s.mu.Unlock()
	var changed []*peer.Item
	for _, it := range items {
		if !s.merge(now, it) {
			continue
		}
		changed = append(changed, it)
		if news {
			s.news[itemKey{it.Kind, it.Key}] = 0
		}
	}
	return changed
}

func (s *State) merge(now time.Time, it *peer.Item) bool {
	if lapsed(now, it) {
		return false
	}
	k := itemKey{it.Kind, it.Key}
	old := s.items[k]
	if old != nil && !newer(it, old.item) {
		return false
	}
	if old != nil {
		s.remove(k, old)
	}
	st := &stored{item: it, hash: hashItem(it), size: proto.Size(it) + 3}
	s.items[k] = st
	s.digest[bucketOf(k)] ^= st.hash
	if it.Kind == peer.ItemKind_ITEM_KIND_HOST {
		s.hosts++
	}
	return true
}

func (s *State) remove(k itemKey, st *stored) {
	delete(s.items, k)
	s.digest[bucketOf(k)] ^= st.hash
	if k.kind == peer.ItemKind_ITEM_KIND_HOST {
		s.hosts--
	}
}

// newer orders items of one key: a higher incarnation wins, then a higher
// state, then a later expiry, so that every host ends with the same one.
func newer(a, b *peer.Item) bool {
	return cmp.Or(
		cmp.Compare(a.Incarnation, b.Incarnation),
		cmp.Compare(a.State, b.State),
		cmp.Compare(a.Expires, b.Expires),
	) > 0
}

func lapsed(now time.Time, it *peer.Item) bool {
	return it.Expires != 0 && it.Expires <= now.UnixMilli()
}

// Expire drops items that have lapsed and returns them.
func (s *State) Expire(now time.Time) []*peer.Item {
	s.mu.Lock()
	defer s.mu.Unlock()
	var gone []*peer.Item
	for k, st := range s.items {
		if lapsed(now, st.item) {
			s.remove(k, st)
			delete(s.news, k)
			gone = append(gone, st.item)
		}
	}
	return gone
}

// Get returns an item, or nil.
func (s *State) Get(kind peer.ItemKind, key string) *peer.Item {
	s.mu.Lock()
	defer s.mu.Unlock()
	if st := s.items[itemKey{kind, key}]; st != nil {
		return st.item
	}
	return nil
}

// All returns the items of a kind, ordered by key.
func (s *State) All(kind peer.ItemKind) []*peer.Item {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*peer.Item
	for k, st := range s.items {
		if k.kind == kind {
			out = append(out, st.item)
		}
	}
	slices.SortFunc(out, func(a, b *peer.Item) int { return cmp.Compare(a.Key, b.Key) })
	return out
}

// Digest returns the hash of each bucket.
func (s *State) Digest() []uint32 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.digest[:])
}

// Differs counts the buckets whose hash is not the given one.
func (s *State) Differs(digest []uint32) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for i, h := range digest[:min(len(digest), digestBuckets)] {
		if h != s.digest[i] {
			n++
		}
	}
	return n
}

// News returns what others may not have heard yet, the least sent first, in at
// most budget bytes. Each item is sent about the logarithm of the number of
// hosts times, after which nearly all have it; the digest repairs the rest.
func (s *State) News(budget int) []*peer.Item {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.news) == 0 {
		return nil
	}
	keys := make([]itemKey, 0, len(s.news))
	for k := range s.news {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b itemKey) int {
		return cmp.Or(
			cmp.Compare(urgency(b.kind), urgency(a.kind)),
			cmp.Compare(s.news[a], s.news[b]),
			cmp.Compare(a.key, b.key),
		)
	})
	limit := 2 + bits.Len(uint(s.hosts))
	var out []*peer.Item
	for _, k := range keys {
		st := s.items[k]
		if st == nil || s.news[k] >= limit {
			delete(s.news, k)
			continue
		}
		if budget -= st.size; budget < 0 {
			break
		}
		s.news[k]++
		out = append(out, st.item)
	}
	return out
}

// Differing returns items of buckets whose hash is not the given one, in at
// most budget bytes. start rotates which bucket comes first, so that a bucket
// too large for one message is not sent over and over in the same part.
func (s *State) Differing(digest []uint32, start, budget int) []*peer.Item {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(digest) != digestBuckets {
		return nil
	}
	var differ [digestBuckets]bool
	any := false
	for i, h := range digest {
		differ[i] = h != s.digest[i]
		any = any || differ[i]
	}
	if !any {
		return nil
	}
	var keys []itemKey
	for k := range s.items {
		if differ[bucketOf(k)] {
			keys = append(keys, k)
		}
	}
	slices.SortFunc(keys, func(a, b itemKey) int {
		return cmp.Or(cmp.Compare(a.kind, b.kind), cmp.Compare(a.key, b.key))
	})
	var out []*peer.Item
	for i := range keys {
		st := s.items[keys[(i+start)%len(keys)]]
		if budget -= st.size; budget < 0 {
			break
		}
		out = append(out, st.item)
	}
	return out
}

// Page returns the items from the given position on, in at most budget bytes,
// and whether there are more.
func (s *State) Page(from, budget int) (items []*peer.Item, more bool) {
	all := s.everything()
	for i := from; i < len(all); i++ {
		if budget -= all[i].size; budget < 0 && len(items) > 0 {
			return items, true
		}
		items = append(items, all[i].item)
	}
	return items, false
}

func (s *State) everything() []*stored {
	s.mu.Lock()
	defer s.mu.Unlock()
	keys := make([]itemKey, 0, len(s.items))
	for k := range s.items {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b itemKey) int {
		return cmp.Or(cmp.Compare(a.kind, b.kind), cmp.Compare(a.key, b.key))
	})
	out := make([]*stored, len(keys))
	for i, k := range keys {
		out[i] = s.items[k]
	}
	return out
}

// urgency puts what changes where requests may go before what changes who
// answers whom.
func urgency(kind peer.ItemKind) int {
	switch kind {
	case peer.ItemKind_ITEM_KIND_LEAVING, peer.ItemKind_ITEM_KIND_STRIKE:
		return 2
	case peer.ItemKind_ITEM_KIND_REVISION, peer.ItemKind_ITEM_KIND_UPSTREAM:
		return 1
	default:
		return 0
	}
}

func bucketOf(k itemKey) int {
	return int(xxhash.Sum64String(k.key)>>7) % digestBuckets
}

func hashItem(it *peer.Item) uint32 {
	var b []byte
	b = strconv.AppendInt(b, int64(it.Kind), 10)
	b = append(b, it.Key...)
	b = append(b, 0)
	b = strconv.AppendInt(b, it.Incarnation, 10)
	b = append(b, ',')
	b = strconv.AppendInt(b, int64(it.State), 10)
	b = append(b, ',')
	b = strconv.AppendInt(b, it.Expires, 10)
	return uint32(xxhash.Sum64(b))
}
