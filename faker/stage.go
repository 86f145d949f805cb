package faker

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/sardineward/sardineward/balancer"
	"github.com/sardineward/sardineward/forwarder"
)

// Trouble is what a Stage does with a request.
type Trouble int

// The troubles of a Stage.
const (
	// TroubleNone answers.
	TroubleNone Trouble = iota
	// TroubleFull turns the request away as not run.
	TroubleFull
	// TroubleReset runs it and breaks the connection.
	TroubleReset
	// TroubleFailed runs it and answers status 500.
	TroubleFailed
	// TroubleForeign answers another request first.
	TroubleForeign
	// TroubleUnsigned answers without the signature.
	TroubleUnsigned
	// TroubleCut breaks a stream off in the middle of its third event.
	TroubleCut
	// TroubleSilent runs it and never answers.
	TroubleSilent
)

// Stage is an upstream that speaks Headers: it answers plain
// requests, and streams events over the layers that its path names. It is also
// a launcher.Engines for one whose address it has.
type Stage struct {
	ID string
	// Headers are the names it speaks; nil means forwarder.DefaultHeaders.
	Headers *forwarder.Headers
	// Events is how many a stream has, Gap the time between two.
	Events int
	Gap    time.Duration
	// Answer is how long a plain answer takes.
	Answer time.Duration
	// Crash is called, by itself, when a request comes whose body is Poison; nil
	// answers it like any other.
	Crash func()

	mu       sync.Mutex
	limits   limits
	troubles []Trouble
	seen     []Seen
	gone     int
}

// Seen is a request as a Stage got it.
type Seen struct {
	RequestID, Workspace, Path, Key, Target, Body string
	LastEventID                                   string
	DeadlineMs                                    int
	// Ran is false where it was turned away.
	Ran bool
	// From is where it came from, in a Network the place that dialled.
	From string
	// At is when it came.
	At time.Time
}

func (s *Stage) headers() *forwarder.Headers {
	if s.Headers != nil {
		return s.Headers
	}
	return &forwarder.DefaultHeaders
}

// Trouble sets what becomes of the next requests, one each.
func (s *Stage) Trouble(list ...Trouble) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.troubles = list
}

// Seen lists the requests that came, in order.
func (s *Stage) Seen() []Seen {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Seen(nil), s.seen...)
}

// Runs counts how often requests with an id ran.
func (s *Stage) Runs(id string) int {
	n := 0
	for _, one := range s.Seen() {
		if one.RequestID == id && one.Ran {
			n++
		}
	}
	return n
}

// Gone counts callers that went away before their answer.
func (s *Stage) Gone() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gone
}

func (s *Stage) next(r *http.Request, body string) Trouble {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := TroubleNone
	if len(s.troubles) > 0 {
		t, s.troubles = s.troubles[0], s.troubles[1:]
	}
	h := s.headers()
	left, _ := strconv.Atoi(r.Header.Get(h.DeadlineMs))
	s.seen = append(s.seen, Seen{
		RequestID:   r.Header.Get(h.RequestID),
		Workspace:   r.Header.Get(h.Workspace),
		Path:        r.Header.Get(h.Path),
		Key:         r.Header.Get("Authorization"),
		Target:      r.RequestURI,
		Body:        body,
		LastEventID: r.Header.Get("Last-Event-Id"),
		DeadlineMs:  left,
		Ran:         t != TroubleFull,
		From:        r.RemoteAddr,
		At:          time.Now(),
	})
	return t
}

// ServeHTTP implements http.Handler.
func (s *Stage) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := s.headers()
	body := new(strings.Builder)
	if _, err := bufio.NewReader(r.Body).WriteTo(body); err != nil {
		return
	}
	t := s.next(r, body.String())
	if s.Crash != nil && strings.Contains(body.String(), Poison) {
		go s.Crash()
		<-r.Context().Done()
		return
	}
	w.Header().Set(h.RequestID, r.Header.Get(h.RequestID))
	if t != TroubleUnsigned {
		w.Header().Set(h.Stamp, "stamp-"+s.ID)
	}
	w.Header().Set(h.Load, "1,0,8")
	s.name(w.Header(), h.Limit)
	switch t {
	case TroubleFull:
		w.Header().Set(h.NotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	case TroubleReset:
		panic(http.ErrAbortHandler)
	case TroubleSilent:
		s.leave(r)
	case TroubleFailed:
		http.Error(w, "failed", http.StatusInternalServerError)
	case TroubleForeign:
		s.foreign(w, r)
	default:
		if strings.HasPrefix(r.URL.Path, "/stream/") {
			s.stream(w, r, t)
			return
		}
		s.plain(w, r)
	}
}

func (s *Stage) leave(r *http.Request) {
	<-r.Context().Done()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gone++
}

func (s *Stage) plain(w http.ResponseWriter, r *http.Request) {
	select {
	case <-r.Context().Done():
		s.leave(r)
		return
	case <-time.After(s.Answer):
	}
	_, _ = fmt.Fprintf(w, "answer of %s to %s", s.ID, r.Header.Get(s.headers().RequestID))
}

// foreign writes a late answer to another request before the one to this.
func (s *Stage) foreign(w http.ResponseWriter, r *http.Request) {
	id := s.headers().RequestID
	conn, buf, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	for _, name := range []string{"another", r.Header.Get(id)} {
		text := "answer to " + name
		_, _ = fmt.Fprintf(buf, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: stamp\r\nContent-Length: %d\r\n\r\n%s",
			id, name, s.headers().Stamp, len(text), text)
	}
	_ = buf.Flush()
}

func (s *Stage) stream(w http.ResponseWriter, r *http.Request, t Trouble) {
	ctl := http.NewResponseController(w)
	w.Header().Set("Content-Type", "text/event-stream")
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for n := from + 1; n <= s.Events; n++ {
		select {
		case <-r.Context().Done():
			s.leave(r)
			return
		case <-time.After(s.Gap):
		}
		if t == TroubleCut && n == from+3 {
			_, _ = fmt.Fprintf(w, "id: %d\nda", n)
			_ = ctl.Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: event %d\n\n", n, n)
		_ = ctl.Flush()
	}
}

// NoEngines is a launcher.Engines for fleets that take no orders.
type NoEngines struct{}

// Place implements orderer.Engines.
func (NoEngines) Place(context.Context, string, balancer.Span, int64) error { return nil }

// OrderCount implements orderer.Engines.
func (NoEngines) OrderCount(context.Context, string) (int64, error) { return 0, nil }

// Repath implements forwarder.Engines.
func (NoEngines) Repath(context.Context, string, []balancer.Hop) error { return errAway }

// Pace implements pacer.Engines.
func (NoEngines) Pace(context.Context, string) (float64, error) { return 1, nil }

// QueryStalls implements forwarder.Engines.
func (NoEngines) QueryStalls(context.Context, string) ([]forwarder.Stall, error) { return nil, nil }
