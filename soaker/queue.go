package soaker

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"strconv"
	"sync"
	"time"
)

// Queue bounds the rate of all connections of a host together, as its network link does. The zero value
// does not bound them.
type Queue struct {
	mu sync.Mutex
	// rate is in bytes a second; 0 is unbounded.
	rate float64
	// freeAt is when all bytes that have entered have passed.
	freeAt time.Time
}

// SetRate sets the rate, in bytes a second; 0 removes it. It changes nothing and returns false if a rate is
// set already and the new one is not 0.
func (q *Queue) SetRate(rate float64) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if rate > 0 && q.rate > 0 {
		return false
	}
	q.rate = rate
	return true
}

// Wait waits until n bytes have passed, behind those that entered before. A nil Queue does not wait.
func (q *Queue) Wait(n int) {
	if q == nil {
		return
	}
	q.mu.Lock()
	if q.rate == 0 {
		q.mu.Unlock()
		return
	}
	if now := time.Now(); q.freeAt.Before(now) {
		q.freeAt = now
	}
	q.freeAt = q.freeAt.Add(time.Duration(float64(n) / q.rate * float64(time.Second)))
	until := q.freeAt
	q.mu.Unlock()
	time.Sleep(time.Until(until))
}

// queueOf returns the queue of the host whose process has the other end of a connection; nil if none has. Hosts
// share one loopback address, so the kernel's table of connections tells whose it is.
func (c *cluster) queueOf(conn net.Conn) *Queue {
	inode := socketInode(conn)
	if inode == "" {
		return nil
	}
	for _, h := range c.hosts {
		if h.holdsSocket(inode) {
			return &h.queue
		}
	}
	return nil
}

// socketInode returns the inode of the socket at the other end of an IPv4 loopback connection; empty if unknown.
func socketInode(conn net.Conn) string {
	remote, isRemoteTCP := conn.RemoteAddr().(*net.TCPAddr)
	local, isLocalTCP := conn.LocalAddr().(*net.TCPAddr)
	if !isRemoteTCP || !isLocalTCP {
		return ""
	}
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return ""
	}
	const inodeField = 9
	ends := fmt.Appendf(nil, ":%04X 0100007F:%04X ", remote.Port, local.Port)
	for line := range bytes.Lines(table) {
		if fields := bytes.Fields(line); bytes.Contains(line, ends) && len(fields) > inodeField {
			return string(fields[inodeField])
		}
	}
	return ""
}

// holdsSocket reports whether the host's process has a socket open.
func (h *host) holdsSocket(inode string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd == nil || h.cmd.Process == nil {
		return false
	}
	dir := "/proc/" + strconv.Itoa(h.cmd.Process.Pid) + "/fd/"
	files, err := os.ReadDir(dir)
	if err != nil {
		return false
	}
	for _, one := range files {
		if name, err := os.Readlink(dir + one.Name()); err == nil && name == "socket:["+inode+"]" {
			return true
		}
	}
	return false
}
