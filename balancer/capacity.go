package balancer

import "time"

// capacityInterval is how long the result of Capacity is used before it is computed again.
const capacityInterval = 200 * time.Millisecond

// serviceCapacity is a result of Capacity, computed at at.
type serviceCapacity struct {
	requests float64
	at       time.Duration
}

// Capacity returns how many typical requests the usable upstreams of a service run at a time: as many
// as their slots, or as fit into the memory for the layer that has the least. It is 0 where that is
// not known. The result may be capacityInterval old.
func (b *Balancer) Capacity(now time.Duration, service string) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c, ok := b.capacities[service]; ok && now-c.at < capacityInterval {
		return c.requests
	}
	if b.capacities == nil {
		b.capacities = make(map[string]serviceCapacity)
	}
	c := serviceCapacity{b.capacity(now, service), now}
	b.capacities[service] = c
	return c.requests
}

func (b *Balancer) capacity(now time.Duration, service string) float64 {
	s := b.services[service]
	switch {
	case s == nil:
		return 0
	case s.Engine == nil || s.Engine.Layers == 0:
		return b.slots(now, service)
	}
	e := s.Engine
	typical := Requirements{PromptTokens: e.Prompt, AnswerTokens: e.Answer}.expectedTokens()
	if typical <= 0 {
		return 0
	}
	return b.leastLayerTokens(now, service, e.Layers) * (1 - headroom) / typical
}

// slots returns the sum of the slots of a plain service's usable upstreams.
func (b *Balancer) slots(now time.Duration, service string) float64 {
	sum := 0.0
	for _, u := range b.upstreams {
		if u.Service == service && u.reachable(now, nil) {
			sum += float64(u.Slots)
		}
	}
	return sum
}

// leastLayerTokens returns the number of tokens that fit into the usable upstreams' memory for the layer
// that has the least.
func (b *Balancer) leastLayerTokens(now time.Duration, service string, layers int) float64 {
	// Each entry is by how many tokens a layer's memory differs from that of the one before.
	changes := make([]float64, layers+1)
	for _, u := range b.upstreams {
		from, to := max(0, u.Layers.From), min(u.Layers.To, layers)
		if u.Service != service || from >= to || !u.reachable(now, nil) {
			continue
		}
		tokens := u.capacity / float64(u.Layers.Len())
		changes[from] += tokens
		changes[to] -= tokens
	}
	least, sum := changes[0], 0.0
	for _, c := range changes[:layers] {
		sum += c
		least = min(least, sum)
	}
	return max(0, least)
}

// leavesTooLittle reports whether a request that leaves a share of a plain upstream's slots to others
// finds none beyond them.
func (u *upstream) leavesTooLittle(now time.Duration, keepFree float64) bool {
	return keepFree > 0 && u.Slots > 0 && u.estimatedLoad(now) >= float64(u.Slots)*(1-keepFree)
}
