package balancer

// minHostsToPrefer is the number of hosts from which connections are scarce: with fewer, each host
// has connections to all upstreams that it sends requests to.
const minHostsToPrefer = 16

// prefersConnected reports whether an upstream is to be preferred as first hop, among those that cost
// about the same, since this host has an idle connection to it. Each of many hosts otherwise opens
// connections to all upstreams and lets most of them expire.
func (b *Balancer) prefersConnected(n *Requirements, address string) bool {
	return n.HasConnection != nil && b.hostCount() >= minHostsToPrefer && n.HasConnection(address)
}
