package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	heartbeat = 1200 * time.Millisecond
	// expiry is how long the store keeps the entry of a server that is silent.
	expiry = 3 * heartbeat
	// downFor is how long a server that crashed is away.
	downFor = 2500 * time.Millisecond
	stamp   = "X-Sardineward-Response-Stamp"
	idField = "X-Sardineward-Attempt-Id"
)

// poisonWord marks the body or the path of a request that crashes its server.
const poisonWord = "poison"

// poisonPart is a part of prompts that crashes the server of each request.
const poisonPart = "dead0001"

// arrival is a request that reached a server.
type arrival struct {
	at     time.Time
	server string
	id     string
	// what is the path with the body, which stay the same when the request comes again, and the parts of its prompt.
	what string
	// crashed is set if it crashed the server, refused if the server did not run it.
	crashed, refused bool
}

// server is one runner of a service.
type server struct {
	w       *world
	id      string
	service string
	address string
	slots   int
	// work is how long a plain request takes, pieces and gap are those of a stream.
	work   time.Duration
	pieces int
	gap    time.Duration
	// crashAfter is how many pieces of a stream are sent before a poisonous request crashes the server.
	crashAfter int

	mu       sync.Mutex
	up       bool
	born     int64
	state    string
	seq      int64
	running  int
	listener net.Listener
	conns    map[net.Conn]bool
	stop     context.CancelFunc
	// endedAt is when the process ended for good.
	endedAt time.Time
}

// resetConn closes a connection with a reset.
func resetConn(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// leave lets the server leave without a report: its entry is removed, it goes on serving for a time and ends.
func (s *server) leave(serving time.Duration) {
	s.mu.Lock()
	s.stop()
	s.mu.Unlock()
	s.w.store.drop("servers/" + s.id)
	s.w.record("server %s leaves: its entry is removed, it serves on for %v", s.id, serving)
	go func() {
		time.Sleep(serving)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.up, s.endedAt = false, time.Now()
		_ = s.listener.Close()
		for c := range s.conns {
			_ = c.Close()
		}
		s.w.record("server %s has ended", s.id)
	}()
}

// start lets the server listen, and register itself.
func (s *server) start() error {
	l, err := new(net.ListenConfig).Listen(context.Background(), "tcp", s.address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.mu.Lock()
	s.state = "ready"
	s.up, s.born, s.seq, s.running, s.listener, s.conns, s.stop = true, time.Now().UnixMilli(), 0, 0, l, make(map[net.Conn]bool), cancel
	s.mu.Unlock()
	hs := &http.Server{Handler: s, ReadHeaderTimeout: 10 * time.Second, IdleTimeout: 5 * time.Second, ConnState: s.note, ErrorLog: quiet}
	go func() { _ = hs.Serve(l) }()
	go s.beat(ctx)
	return nil
}

// note keeps the open connections.
func (s *server) note(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.conns[c] = true
	case http.StateClosed, http.StateHijacked:
		delete(s.conns, c)
	default:
	}
}

// entry returns what the server says of itself; s.mu is held.
func (s *server) entry() map[string]any {
	return map[string]any{
		"service": s.service, "address": s.address, "zone": zone, "version": "v1", "slots": s.slots, "state": s.state,
		"cold-remaining-ms": 0, "seq": s.seq, "born": s.born,
	}
}

// beat writes the entry of the server until ctx ends.
func (s *server) beat(ctx context.Context) {
	for ctx.Err() == nil {
		s.mu.Lock()
		entry := s.entry()
		s.seq++
		s.mu.Unlock()
		s.w.store.put("servers/"+s.id, entry)
		pause(ctx, heartbeat)
	}
}

// crash ends the server as the end of its process does: nothing listens any more and open connections are reset. It is back
// after downFor.
func (s *server) crash() {
	s.mu.Lock()
	if !s.up {
		s.mu.Unlock()
		return
	}
	s.up = false
	s.stop()
	_ = s.listener.Close()
	for c := range s.conns {
		resetConn(c)
	}
	s.mu.Unlock()
	s.w.record("server %s has crashed", s.id)
	s.expireEntry()
	go func() {
		time.Sleep(downFor)
		s.startAgain()
	}()
}

// expireEntry removes the entry of a server that has crashed, unless it is back before.
func (s *server) expireEntry() {
	s.mu.Lock()
	born := s.born
	s.mu.Unlock()
	time.AfterFunc(expiry, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.born == born {
			s.w.store.drop("servers/" + s.id)
		}
	})
}

func (s *server) startAgain() {
	if err := s.start(); err != nil {
		s.w.record("server %s can't start again: %v", s.id, err)
		return
	}
	s.w.record("server %s is back", s.id)
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/api/report" {
		s.mu.Lock()
		defer s.mu.Unlock()
		reply(w, http.StatusOK, map[string]any{"seq": 0, "busy": false, "queued": 0, "running": s.running, "born": s.born})
		return
	}
	if r.URL.Path == "/health" {
		w.Header().Set("X-Sardineward-Runner-Id", s.id)
		return
	}
	id := r.Header.Get(idField)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.Header().Set(idField, id)
	if want := r.Header.Get("X-Sardineward-Expect-Instance"); want != "" && want != s.id {
		w.Header().Set("X-Sardineward-Runner-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	a := arrival{at: time.Now(), server: s.id, id: id, what: r.Method + " " + r.URL.Path + " " + string(body) + " " + r.Header.Get("X-Sardineward-Prompt-Prefix")}
	full := false
	s.mu.Lock()
	if full = id == "" || s.running >= s.slots; !full {
		s.running++
	}
	s.mu.Unlock()
	isPoison := strings.Contains(a.what, poisonWord) || strings.Contains(a.what, poisonPart)
	a.refused = full
	a.crashed = isPoison && !full && s.w.crashes
	s.w.arrived(a)
	if full {
		w.Header().Set("X-Sardineward-Not-Executed", "1")
		w.WriteHeader(map[bool]int{true: http.StatusBadRequest, false: http.StatusServiceUnavailable}[id == ""])
		return
	}
	defer func() {
		s.mu.Lock()
		s.running--
		s.mu.Unlock()
	}()
	s.mu.Lock()
	load := fmt.Sprintf("%d,0,%d", s.running, s.slots)
	s.mu.Unlock()
	w.Header().Set("X-Sardineward-Runner-Load", load)
	w.Header().Set(stamp, "7."+s.id+"."+id)
	if strings.HasPrefix(r.URL.Path, "/draft/") {
		s.stream(w, r, a.crashed)
		return
	}
	if a.crashed {
		s.crash()
		panic(http.ErrAbortHandler)
	}
	pause(r.Context(), s.work)
	_, _ = fmt.Fprintf(w, "answer of %s to %s\n", s.id, id)
}

// stream sends the pieces after the one that the request names.
func (s *server) stream(w http.ResponseWriter, r *http.Request, crashes bool) {
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Sardineward-Weight-Versions", "1")
	for n := 0; last+n < s.pieces; n++ {
		if !pause(r.Context(), s.gap) {
			return
		}
		if crashes && n == s.crashAfter {
			s.crash()
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", last+n+1, last+n+1)
		if http.NewResponseController(w).Flush() != nil {
			return
		}
	}
}
