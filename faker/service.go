package faker

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/sardineward/sardineward/prober"
	"github.com/sardineward/sardineward/tracker"
)

// Service is a plain service: its instances share one ledger of what ran.
type Service struct {
	mu sync.Mutex
	// delay is how long a call takes.
	delay time.Duration
	// runs counts calls that may not be repeated, by their key.
	runs map[string]int
	// requests counts all calls by request id.
	requests map[string]int
	fail     func(r *http.Request) bool
}

// SetDelay sets how long a call takes.
func (s *Service) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

// Runs returns how often a call ran under a key.
func (s *Service) Runs(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[key]
}

// AllRuns returns how often each key ran.
func (s *Service) AllRuns() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int, len(s.runs))
	for k, n := range s.runs {
		out[k] = n
	}
	return out
}

// Requests returns how often a request id arrived.
func (s *Service) Requests(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests[id]
}

// Total returns how many calls arrived.
func (s *Service) Total() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, k := range s.requests {
		n += k
	}
	return n
}

// FailWhen breaks the connection after the call ran, when f says so.
func (s *Service) FailWhen(f func(r *http.Request) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fail = f
}

// Handler serves one instance.
func (s *Service) Handler() http.Handler {
	started := time.Now().UnixMilli()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/load", func(w http.ResponseWriter, _ *http.Request) {
		json.NewEncoder(w).Encode(tracker.Load{Incarnation: started})
	})
	mux.HandleFunc("/", s.call)
	return mux
}

func (s *Service) call(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	if s.runs == nil {
		s.runs, s.requests = make(map[string]int), make(map[string]int)
	}
	s.requests[r.Header.Get("X-Request-Id")]++
	key := r.Header.Get("Idempotency-Key")
	if r.Method != http.MethodGet {
		s.runs[key]++
	}
	fail, delay := s.fail, s.delay
	s.mu.Unlock()
	time.Sleep(delay)
	if fail != nil && fail(r) {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(map[string]any{"path": r.URL.Path, "key": key, "bytes": len(body)})
}

// HostList is the platform's list of hosts, which lags.
type HostList struct {
	// Lag is how long a change takes to show.
	Lag time.Duration

	mu      sync.Mutex
	listed  map[string]prober.ListedHost
	changes []change
}

type change struct {
	at   time.Time
	line prober.ListedHost
}

// Set changes a line.
func (l *HostList) Set(line prober.ListedHost) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.changes = append(l.changes, change{time.Now().Add(l.Lag), line})
}

// Handler serves the list.
func (l *HostList) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/hosts", func(w http.ResponseWriter, _ *http.Request) {
		json.NewEncoder(w).Encode(l.shown())
	})
	return mux
}

func (l *HostList) shown() []prober.ListedHost {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.listed == nil {
		l.listed = make(map[string]prober.ListedHost)
	}
	var later []change
	for _, c := range l.changes {
		if c.at.After(time.Now()) {
			later = append(later, c)
			continue
		}
		l.listed[c.line.Name] = c.line
	}
	l.changes = later
	out := make([]prober.ListedHost, 0, len(l.listed))
	for _, line := range l.listed {
		out = append(out, line)
	}
	return out
}
