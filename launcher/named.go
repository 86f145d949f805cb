package launcher

import "sync"

// named holds one value for each name, made when it is first asked for.
type named[T any] struct {
	// New makes a value; nil takes the zero value.
	New func() *T

	mu     sync.Mutex
	values map[string]*T
}

// Get returns the value of a name.
func (n *named[T]) Get(name string) *T {
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
