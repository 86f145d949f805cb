package balancer

// minManyHosts is the number of hosts from which connections are scarce: with fewer, each host has
// connections to all upstreams that it sends requests to, and its own checks are few.
const minManyHosts = 16

// HasManyHosts reports whether there are so many hosts that each opens connections sparingly.
func (b *Balancer) HasManyHosts() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.hasManyHosts()
}

func (b *Balancer) hasManyHosts() bool { return b.hostCount() >= minManyHosts }

// prefersConnected reports whether an upstream is to be preferred as first hop, among those that cost
// about the same, since this host has an idle connection to it. Each of many hosts otherwise opens
// connections to all upstreams and lets most of them expire.
func (b *Balancer) prefersConnected(n *Requirements, address string) bool {
	return n.HasConnection != nil && b.hasManyHosts() && n.HasConnection(address)
}
