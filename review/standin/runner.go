package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	heartbeat = 1200 * time.Millisecond
	layerMB   = 1750.0
	// maxKept is how many bytes of a request's body a runner keeps.
	maxKept = 64 << 10
	// stamp is the header that shows that a response is a runner's.
	stampHeader   = "X-Sardineward-Response-Stamp"
	idHeader      = "X-Sardineward-Attempt-Id"
	notRunHeader  = "X-Sardineward-Not-Executed"
	deadlineField = "X-Sardineward-Deadline-Ms"
)

// span is a range of layers; to is exclusive.
type span struct {
	From    int `json:"from"`
	To      int `json:"to"`
	Version int `json:"version"`
}

// runner is a stand-in of a runner. A crash resets all its connections and refuses new ones; each start is a new
// incarnation with a new id.
type runner struct {
	d             *driver
	service, zone string
	address       string
	// kind and sizeMB are those of its card; a service without engine has none.
	kind   string
	sizeMB float64
	slots  int
	// handle answers a request of a client once it runs.
	handle func(x *exchange)
	// readRate is how many bytes a second it reads of a body; 0 means as fast as it can.
	readRate int
	// loadTime is how long it takes to load layers.
	loadTime time.Duration
	// extraOrders is set where it sends its answer to an order a second time, before the next response.
	extraOrders bool

	mu       sync.Mutex
	id       string
	born     int64
	seq      int64
	layers   *span
	listener net.Listener
	conns    map[*runnerConn]bool
	up       bool
	running  int
}

type runnerConn struct {
	net.Conn
	br *bufio.Reader
	mu sync.Mutex
	// extra is sent before the next response.
	extra []byte
}

// exchange is a request that runs at a runner.
type exchange struct {
	r   *runner
	c   *runnerConn
	req *http.Request
	id  string
	// runner is the id of the incarnation that has the request.
	runner string
	body   []byte
}

// begin records that the runner begins to work on the request. It returns false if the runner has ended.
func (x *exchange) begin() bool {
	if !x.r.isUp(x.runner) {
		return false
	}
	x.r.d.ran(x.id, x.runner, x.r.service, x.req)
	return true
}

type order struct {
	Op       string `json:"op"`
	From     int    `json:"from"`
	To       int    `json:"to"`
	Expected *int64 `json:"expected"`
}

// start begins a new incarnation, listed in the store from register later on.
func (r *runner) start(register time.Duration) {
	l, err := new(net.ListenConfig).Listen(context.Background(), "tcp", r.address)
	if err != nil {
		r.d.fail("runner at %s: %v", r.address, err)
	}
	r.mu.Lock()
	r.id, r.born, r.seq, r.layers = fmt.Sprintf("i-%08x", rand.Uint32()), time.Now().UnixMilli(), 0, nil
	r.listener, r.conns, r.up, r.running = l, make(map[*runnerConn]bool), true, 0
	id := r.id
	r.mu.Unlock()
	r.d.record("runner %s of %s starts at %s", id, r.service, r.address)
	go r.accept(l)
	go r.beat(id, register)
}

func (r *runner) isUp(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.up && r.id == id
}

// entry returns what the runner writes in the store; seq is left out, as an entry doesn't change where only seq does.
func (r *runner) entry() []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": "v1", "slots": r.slots, "state": "ready",
		"cold-remaining-ms": 0, "seq": r.seq, "born": r.born,
	}
	if r.kind != "" {
		e["kind"], e["stage"] = r.kind, "both"
		if r.layers != nil {
			e["layers"] = r.layers
		}
	}
	b, _ := json.Marshal(e)
	return b
}

// beat keeps the entry of an incarnation, and removes it three heartbeats after the last one.
func (r *runner) beat(id string, register time.Duration) {
	time.Sleep(register)
	last := ""
	lastBeat := time.Now()
	for r.isUp(id) {
		last = string(r.entry())
		if !r.d.store.holds("servers/"+id, last) {
			r.d.store.put("servers/"+id, []byte(last))
		}
		lastBeat = time.Now()
		for end := lastBeat.Add(heartbeat); time.Now().Before(end) && r.isUp(id); {
			if string(r.entry()) != last {
				break
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	time.Sleep(time.Until(lastBeat.Add(3 * heartbeat)))
	r.d.store.remove("servers/" + id)
	r.d.record("entry of runner %s is removed", id)
}

// crash ends the incarnation: connections are reset, new ones refused.
func (r *runner) crash(why string) {
	r.mu.Lock()
	if !r.up {
		r.mu.Unlock()
		return
	}
	r.up = false
	id := r.id
	_ = r.listener.Close()
	conns := r.conns
	r.conns = nil
	r.mu.Unlock()
	r.d.record("runner %s of %s crashes: %s", id, r.service, why)
	for c := range conns {
		if t, ok := c.Conn.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		c.Close()
	}
}

func (r *runner) accept(l net.Listener) {
	for {
		nc, err := l.Accept()
		if err != nil {
			return
		}
		c := &runnerConn{Conn: nc, br: bufio.NewReaderSize(nc, 8<<10)}
		r.mu.Lock()
		if !r.up {
			r.mu.Unlock()
			nc.Close()
			continue
		}
		r.conns[c] = true
		r.mu.Unlock()
		go r.serve(c)
	}
}

func (r *runner) serve(c *runnerConn) {
	defer func() {
		c.Close()
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.conns, c)
	}()
	for {
		if _, err := c.br.Peek(1); err != nil {
			return
		}
		req, err := http.ReadRequest(c.br)
		if err != nil {
			return
		}
		slow := &slowReader{req.Body, r}
		body, err := io.ReadAll(io.LimitReader(slow, maxKept))
		if err == nil {
			_, err = io.Copy(io.Discard, slow)
		}
		if err != nil {
			return
		}
		if len(c.extra) > 0 {
			c.write(c.extra)
			c.extra = nil
		}
		r.answer(c, req, body)
	}
}

// slowReader reads at most as many bytes a second as its runner does.
type slowReader struct {
	io.Reader
	r *runner
}

func (s *slowReader) Read(b []byte) (int, error) {
	s.r.mu.Lock()
	rate := s.r.readRate
	s.r.mu.Unlock()
	if rate == 0 {
		return s.Reader.Read(b)
	}
	n, err := s.Reader.Read(b[:min(len(b), max(1, rate/20))])
	time.Sleep(time.Duration(float64(n) / float64(rate) * float64(time.Second)))
	return n, err
}

func (r *runner) setReadRate(rate int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readRate = rate
}

func (c *runnerConn) write(b []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, err := c.Write(b)
	return err == nil
}

// head returns the status line and the headers of a response.
func head(status int, fields ...string) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	for i := 0; i < len(fields); i += 2 {
		b.WriteString(fields[i] + ": " + fields[i+1] + "\r\n")
	}
	b.WriteString("\r\n")
	return []byte(b.String())
}

func message(status int, body string, fields ...string) []byte {
	return append(head(status, append(fields, "Content-Length", strconv.Itoa(len(body)))...), body...)
}

func (r *runner) answer(c *runnerConn, req *http.Request, body []byte) {
	r.mu.Lock()
	id, layers, seq := r.id, r.layers, r.seq
	r.mu.Unlock()
	if want := req.Header.Get("X-Sardineward-Expect-Instance"); want != "" && want != id {
		c.write(message(http.StatusMisdirectedRequest, "", "X-Sardineward-Runner-Id", id))
		return
	}
	switch {
	case req.URL.Path == "/health":
		c.write(message(http.StatusOK, "", "X-Sardineward-Runner-Id", id))
		return
	case req.URL.Path == "/api/report" && r.kind != "":
		b, _ := json.Marshal(map[string]any{"stage": "both", "busy": false, "seq": seq, "queued": 0, "running": 0, "kv-used": 0, "kv-total": 1000000, "handles": 0, "stalled": []any{}, "layers": layers, "kind": r.kind})
		c.write(message(http.StatusOK, string(b), "Content-Type", "application/json"))
		return
	case req.URL.Path == "/api/order" && r.kind != "":
		r.takeOrder(c, body)
		return
	}
	attempt := req.Header.Get(idHeader)
	if attempt == "" {
		c.write(message(http.StatusBadRequest, "", notRunHeader, "1"))
		return
	}
	if r.kind != "" && !r.holds(req.Header.Get("X-Sardineward-Hop-Count"), layers) {
		c.write(message(http.StatusMisdirectedRequest, "", idHeader, attempt, "At-Server", r.address))
		return
	}
	r.mu.Lock()
	full := r.running >= r.slots
	if !full {
		r.running++
	}
	r.mu.Unlock()
	if full {
		c.write(message(http.StatusServiceUnavailable, "", idHeader, attempt, notRunHeader, "1"))
		return
	}
	r.handle(&exchange{r, c, req, attempt, id, body})
	r.mu.Lock()
	r.running--
	r.mu.Unlock()
}

// holds reports whether the runner holds its part of a path, and, in these trials, that it is the whole model.
func (r *runner) holds(path string, held *span) bool {
	address, part, _ := strings.Cut(path, "=")
	from, to := 0, 0
	if _, err := fmt.Sscanf(part, "%d-%d", &from, &to); err != nil {
		return false
	}
	return address == r.address && held != nil && held.From <= from && held.To >= to
}

// takeOrder takes an order to hold layers. A runner that is ordered to hold more than fits crashes.
func (r *runner) takeOrder(c *runnerConn, body []byte) {
	var o order
	if json.Unmarshal(body, &o) != nil || o.Op != "place" {
		c.write(message(http.StatusBadRequest, ""))
		return
	}
	r.mu.Lock()
	id, seq := r.id, r.seq
	stale := o.Expected != nil && *o.Expected != seq
	r.mu.Unlock()
	r.d.record("runner %s of %s, kind %s, gets the order %s", id, r.service, r.kind, body)
	if stale {
		c.write(message(http.StatusConflict, `{"error":"seq differs"}`, "Content-Type", "application/json"))
		return
	}
	if need := float64(o.To-o.From) * layerMB; need > r.sizeMB {
		r.d.broken("LIMIT: runner %s of %s, kind %s of %.0f MB, is ordered to hold layers %d to %d, %.0f MB", id, r.service, r.kind, r.sizeMB, o.From, o.To, need)
		r.crash("ordered to hold more than fits")
		return
	}
	r.mu.Lock()
	r.seq++
	r.layers = nil
	r.mu.Unlock()
	time.AfterFunc(r.loadTime, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.up && r.id == id {
			r.layers = &span{o.From, o.To, 1}
		}
	})
	answer := message(http.StatusAccepted, "")
	c.write(answer)
	if r.extraOrders {
		c.extra = answer
		r.d.record("runner %s of %s: its answer to the order comes a second time, later", id, r.service)
	}
}

// streamHead returns the head of a stream.
func (x *exchange) streamHead() []byte {
	return head(http.StatusOK, idHeader, x.id, stampHeader, "s."+x.id, "Content-Type", "text/event-stream", "Transfer-Encoding", "chunked")
}

// tokensPerEvent is how many tokens an event of a stream holds.
const tokensPerEvent = 4

func chunk(text string) []byte { return []byte(fmt.Sprintf("%x\r\n%s\r\n", len(text), text)) }

// answerStream answers with a stream of n events of four tokens each, and goes on after Last-Event-Id. The head goes out
// with the first token, after first; each token is written as it is made, gap after the one before.
func answerStream(first, gap time.Duration, n int) func(x *exchange) {
	return func(x *exchange) {
		from := 1
		if last, err := strconv.Atoi(x.req.Header.Get("Last-Event-Id")); err == nil {
			from = last + 1
		}
		time.Sleep(first)
		if !x.begin() || !x.c.write(x.streamHead()) {
			return
		}
		for i := from; i <= n; i++ {
			text := fmt.Sprintf("id: %d\ndata: ", i)
			for token := range tokensPerEvent {
				text += fmt.Sprintf("t%d.%d ", i, token)
				if token == tokensPerEvent-1 {
					text += "\n\n"
				}
				if !x.c.write(chunk(text)) {
					return
				}
				text = ""
				time.Sleep(gap)
			}
		}
		x.c.write([]byte("0\r\n\r\n"))
	}
}

// answerPlain answers a plain request after some work.
func answerPlain(work time.Duration) func(x *exchange) {
	return func(x *exchange) {
		if !x.begin() {
			return
		}
		time.Sleep(work)
		x.c.write(message(http.StatusOK, "answer to "+x.id, idHeader, x.id, stampHeader, "s."+x.id, "X-Sardineward-Runner-Load", fmt.Sprintf("%d,0,%d", 1, x.r.slots)))
	}
}
