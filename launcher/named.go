package launcher

import (
	"maps"
	"sync"
)

// lazyMap maps names to values that are created on first use. The zero value is ready to use.
type lazyMap[T any] struct {
	// New returns a new value; nil means new(T).
	New func() *T

	mu     sync.Mutex
	values map[string]*T
}

// Get returns the value for name, and creates it if there is none.
func (n *lazyMap[T]) Get(name string) *T {
	n.mu.Lock()
	defer n.mu.Unlock()
	v := n.values[name]
	if v != nil {
		return v
	}
	v = new(T)
	if n.New != nil {
		v = n.New()
	}
	if n.values == nil {
		n.values = make(map[string]*T)
	}
	n.values[name] = v
	return v
}

// All returns a copy of the map.
func (n *lazyMap[T]) All() map[string]*T {
	n.mu.Lock()
	defer n.mu.Unlock()
	return maps.Clone(n.values)
}
