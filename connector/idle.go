package connector

import (
	"net/http"
)

// HasIdle reports whether a request to an upstream needs no new connection, as far as is known
// without reading from the idle ones.
func (p *Pool) HasIdle(address string, atMostOnce bool) bool {
	now := p.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return false
	}
	c := list[len(list)-1]
	return c.usableUntil > now && (!atMostOnce || now-c.idleSince < maxIdleForOnce)
}

// popIdle removes and returns the most recently used idle connection, or nil.
func (p *Pool) popIdle(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	return c
}

// putIdle keeps a connection for reuse, or closes it when there are enough or it has unread data.
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
	if len(p.idle[c.address]) >= maxIdlePerAddress || c.br.Buffered() > 0 {
		c.Close()
		return
	}
	p.idle[c.address] = append(p.idle[c.address], c)
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
