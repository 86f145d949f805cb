package main

import (
	"context"
	"io"
	"net"
	"sync"
)

// proxy passes connections on to an address. It can let the open ones go silent for good.
type proxy struct {
	target string

	mu    sync.Mutex
	links []*link
}

// link is one connection through a proxy.
type link struct {
	near, far net.Conn

	mu     sync.Mutex
	silent bool
}

// startProxy starts a proxy and returns the address that it listens on.
func startProxy(target string) (*proxy, string, error) {
	l, err := new(net.ListenConfig).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", err
	}
	p := &proxy{target: target}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.join(c)
		}
	}()
	return p, l.Addr().String(), nil
}

func (p *proxy) join(near net.Conn) {
	far, err := new(net.Dialer).DialContext(context.Background(), "tcp", p.target)
	if err != nil {
		_ = near.Close()
		return
	}
	k := &link{near: near, far: far}
	p.mu.Lock()
	p.links = append(p.links, k)
	p.mu.Unlock()
	go k.pump(far, near)
	go k.pump(near, far)
}

// silence lets all open connections go silent: what is sent on them is taken and dropped, and none is reset.
func (p *proxy) silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, k := range p.links {
		k.mu.Lock()
		k.silent = true
		k.mu.Unlock()
	}
	n := len(p.links)
	p.links = nil
	return n
}

// pump copies from one end to the other.
func (k *link) pump(to io.Writer, from io.Reader) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		k.mu.Lock()
		silent := k.silent
		k.mu.Unlock()
		if silent {
			if err != nil {
				return
			}
			continue
		}
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	_ = k.near.Close()
	_ = k.far.Close()
}
