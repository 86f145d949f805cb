package connector

import (
	"net/http"
	"slices"
)

// HasIdle reports whether a request with an id needs no new connection to an upstream, as far as is known
// without reading from the idle ones.
func (p *Pool) HasIdle(address, id string, atMostOnce bool) bool {
	now := p.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	i := lastFor(list, id)
	if i < 0 {
		return false
	}
	c := list[i]
	return c.usableUntil > now && (!atMostOnce || now-c.idleSince < maxIdleForOnce)
}

// lastFor returns the index of the most recently used connection over which no request with an id was refused, or -1.
func lastFor(list []*conn, id string) int {
	for i, c := range slices.Backward(list) {
		if !c.refused.contains(id) {
			return i
		}
	}
	return -1
}

// popIdle removes and returns the connection that lastFor chooses, or nil.
func (p *Pool) popIdle(address, id string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	i := lastFor(list, id)
	if i < 0 {
		return nil
	}
	c := list[i]
	p.idle[address] = slices.Delete(list, i, i+1)
	return c
}

// putIdle keeps a connection for reuse, or closes it when there are enough, it has unread data, or too many requests were
// refused over it.
func (p *Pool) putIdle(c *conn, h http.Header) {
	now := p.Now()
	c.idleSince = now
	c.usableUntil = now + keepAliveTimeout(h)
	p.putBack(c)
}

// putBack keeps an unused connection for reuse, as putIdle does.
func (p *Pool) putBack(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle == nil {
		p.idle = make(map[string][]*conn)
	}
	if len(p.idle[c.address]) >= maxIdlePerAddress || c.br.Buffered() > 0 || c.refused.isFull() {
		c.Close()
		return
	}
	list := p.idle[c.address]
	i := len(list)
	for i > 0 && list[i-1].idleSince > c.idleSince {
		i--
	}
	p.idle[c.address] = slices.Insert(list, i, c)
}

// CloseExpired closes the idle connections that may no longer be reused.
func (p *Pool) CloseExpired() {
	now := p.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if c.usableUntil > now {
				kept = append(kept, c)
			} else {
				c.Close()
			}
		}
		if len(kept) == 0 {
			delete(p.idle, addr)
		} else {
			p.idle[addr] = kept
		}
	}
}

// Close closes all idle connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, list := range p.idle {
		for _, c := range list {
			c.Close()
		}
	}
	p.idle = nil
}
