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

// digestBuckets is the number of buckets into which the items are hashed; a digest holds one
// hash for each. At 3,200 hosts a bucket holds about 50 hosts, or 4 KB, so a few exchanges
// repair a difference.
const digestBuckets = 64

// itemKey identifies an item: keys are unique within a kind.
type itemKey struct {
	kind peer.ItemKind
	key  string
}

// storedItem is an item with what is derived from it once, when it is merged.
type storedItem struct {
	item *peer.Item
	// hash is XORed into the digest of the item's bucket.
	hash uint32
	// size is the item's encoded size in a message, in bytes, with its tag and length.
	size int
}

// State is a host's replica of the gossiped items: a last-writer-wins map, a digest by which
// two hosts find differences, and the recent updates that are still being disseminated. It is
// safe for concurrent use; NewState makes one.
type State struct {
	mu    sync.Mutex
	items map[itemKey]*storedItem
	// digest holds, for each bucket, the XOR of the hashes of its items.
	digest [digestBuckets]uint32
	// hostCount is the number of items of kind HOST, in any state.
	hostCount int
	// updateSends holds the items to be disseminated, with how often each was sent since it
	// changed.
	updateSends map[itemKey]int
}

// NewState returns an empty state.
func NewState() *State {
	return &State{items: make(map[itemKey]*storedItem), updateSends: make(map[itemKey]int)}
}

// Merge stores the items that are new or supersede a stored one, and returns them. With
// disseminate set they are also queued for other hosts. Items of a full sync are not queued:
// a host that lacks them finds out by comparing digests. Items that have expired are ignored.
func (s *State) Merge(now time.Time, items []*peer.Item, disseminate bool) []*peer.Item {
	s.mu.Lock()
	defer s.mu.Unlock()
	var changed []*peer.Item
	for _, it := range items {
		if !s.merge(now, it) {
			continue
		}
		changed = append(changed, it)
		if disseminate {
			s.updateSends[itemKey{it.Kind, it.Key}] = 0
		}
	}
	return changed
}

// merge stores an item and reports whether it changed the state; it is called with mu held.
func (s *State) merge(now time.Time, it *peer.Item) bool {
	if isExpired(now, it) {
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
	st := &storedItem{item: it, hash: hashItem(it), size: proto.Size(it) + 3}
	s.items[k] = st
	s.digest[bucketOf(k)] ^= st.hash
	if it.Kind == peer.ItemKind_ITEM_KIND_HOST {
		s.hostCount++
	}
	return true
}

// remove deletes a stored item and takes it out of the digest; it is called with mu held.
func (s *State) remove(k itemKey, st *storedItem) {
	delete(s.items, k)
	s.digest[bucketOf(k)] ^= st.hash
	if k.kind == peer.ItemKind_ITEM_KIND_HOST {
		s.hostCount--
	}
}

// newer reports whether a supersedes b, an item of the same key: a higher incarnation wins,
// then a higher state, then a later expiry. The order is total, so all hosts converge.
func newer(a, b *peer.Item) bool {
	return cmp.Or(
		cmp.Compare(a.Incarnation, b.Incarnation),
		cmp.Compare(a.State, b.State),
		cmp.Compare(a.Expires, b.Expires),
	) > 0
}

// isExpired reports whether an item has expired at now; an Expires of 0 means never.
func isExpired(now time.Time, it *peer.Item) bool {
	return it.Expires != 0 && it.Expires <= now.UnixMilli()
}

// Expire removes the items that have expired at now and returns them.
func (s *State) Expire(now time.Time) []*peer.Item {
	s.mu.Lock()
	defer s.mu.Unlock()
	var removed []*peer.Item
	for k, st := range s.items {
		if isExpired(now, st.item) {
			s.remove(k, st)
			delete(s.updateSends, k)
			removed = append(removed, st.item)
		}
	}
	return removed
}

// Get returns the item stored under a kind and key, or nil.
func (s *State) Get(kind peer.ItemKind, key string) *peer.Item {
	s.mu.Lock()
	defer s.mu.Unlock()
	if st := s.items[itemKey{kind, key}]; st != nil {
		return st.item
	}
	return nil
}

// All returns the items of a kind, sorted by key.
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

// Digest returns a copy of the digest: the hash of each bucket, in bucket order.
func (s *State) Digest() []uint32 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.digest[:])
}

// CountDiffering returns the number of buckets whose hash differs from that in digest. Buckets that
// digest lacks are not counted.
func (s *State) CountDiffering(digest []uint32) int {
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

// PendingUpdates returns the recent updates to send next, in at most budget bytes: by priority, then
// the least often sent first. Each is sent about 2 + log2(hosts) times, after which nearly all
// hosts have it; comparing digests repairs the rest.
func (s *State) PendingUpdates(budget int) []*peer.Item {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.updateSends) == 0 {
		return nil
	}
	keys := make([]itemKey, 0, len(s.updateSends))
	for k := range s.updateSends {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b itemKey) int {
		return cmp.Or(
			cmp.Compare(priority(b.kind), priority(a.kind)),
			cmp.Compare(s.updateSends[a], s.updateSends[b]),
			cmp.Compare(a.key, b.key),
		)
	})
	limit := 2 + bits.Len(uint(s.hostCount))
	var out []*peer.Item
	for _, k := range keys {
		st := s.items[k]
		if st == nil || s.updateSends[k] >= limit {
			delete(s.updateSends, k)
			continue
		}
		if budget -= st.size; budget < 0 {
			break
		}
		s.updateSends[k]++
		out = append(out, st.item)
	}
	return out
}

// DifferingItems returns items of the buckets whose hash differs from that in digest, in at most
// budget bytes. offset is the position among these items from which to start, modulo their
// number; callers vary it so that a set too large for one message gets sent in full over time.
// It returns nil for a digest of another number of buckets.
func (s *State) DifferingItems(digest []uint32, offset, budget int) []*peer.Item {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(digest) != digestBuckets {
		return nil
	}
	var differing [digestBuckets]bool
	found := false
	for i, h := range digest {
		differing[i] = h != s.digest[i]
		found = found || differing[i]
	}
	if !found {
		return nil
	}
	var keys []itemKey
	for k := range s.items {
		if differing[bucketOf(k)] {
			keys = append(keys, k)
		}
	}
	slices.SortFunc(keys, func(a, b itemKey) int {
		return cmp.Or(cmp.Compare(a.kind, b.kind), cmp.Compare(a.key, b.key))
	})
	var out []*peer.Item
	for i := range keys {
		st := s.items[keys[(i+offset)%len(keys)]]
		if budget -= st.size; budget < 0 {
			break
		}
		out = append(out, st.item)
	}
	return out
}

// Page returns the items from offset on, in order of kind and key, and whether more follow. It
// returns at most budget bytes, but always at least one item when there is one.
func (s *State) Page(offset, budget int) (items []*peer.Item, more bool) {
	all := s.sortedItems()
	for i := offset; i < len(all); i++ {
		if budget -= all[i].size; budget < 0 && len(items) > 0 {
			return items, true
		}
		items = append(items, all[i].item)
	}
	return items, false
}

// sortedItems returns all items, sorted by kind and key.
func (s *State) sortedItems() []*storedItem {
	s.mu.Lock()
	defer s.mu.Unlock()
	keys := make([]itemKey, 0, len(s.items))
	for k := range s.items {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b itemKey) int {
		return cmp.Or(cmp.Compare(a.kind, b.kind), cmp.Compare(a.key, b.key))
	})
	out := make([]*storedItem, len(keys))
	for i, k := range keys {
		out[i] = s.items[k]
	}
	return out
}

// priority is the rank by which kinds of items are disseminated, highest first. Items that
// change which upstreams may get requests come before items about hosts, which have rank 0.
func priority(kind peer.ItemKind) int {
	switch kind {
	case peer.ItemKind_ITEM_KIND_LEAVING, peer.ItemKind_ITEM_KIND_STRIKE:
		return 2
	case peer.ItemKind_ITEM_KIND_REVISION, peer.ItemKind_ITEM_KIND_UPSTREAM:
		return 1
	default:
		return 0
	}
}

// bucketOf returns the index of the digest bucket that a key falls into.
func bucketOf(k itemKey) int {
	return int(xxhash.Sum64String(k.key)>>7) % digestBuckets
}

// hashItem hashes the fields in which items with the same key differ.
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
