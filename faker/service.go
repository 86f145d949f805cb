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

// Service is a plain service. Its instances share one record of the calls that were executed.
type Service struct {
	mu sync.Mutex
	// delay is the duration of a call.
	delay time.Duration
	// runs counts calls other than GET, by idempotency key.
	runs map[string]int
	// requests counts all calls, by request id.
	requests     map[string]int
	dropResponse func(r *http.Request) bool
}

// SetDelay sets the duration of a call.
func (s *Service) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

// Runs returns how often a call was executed with an idempotency key.
func (s *Service) Runs(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[key]
}

// AllRuns returns how often a call was executed with each idempotency key.
func (s *Service) AllRuns() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int, len(s.runs))
	for k, n := range s.runs {
		out[k] = n
	}
	return out
}

// Requests returns the number of calls received with a request id.
func (s *Service) Requests(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests[id]
}

// TotalRequests returns the number of calls received.
func (s *Service) TotalRequests() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, k := range s.requests {
		n += k
	}
	return n
}

// DropResponseWhen makes calls for which f returns true break the connection after they were
// executed; nil means none.
func (s *Service) DropResponseWhen(f func(r *http.Request) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropResponse = f
}

// Handler returns the HTTP API of one instance, whose incarnation is the current time.
func (s *Service) Handler() http.Handler {
	started := time.Now().UnixMilli()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/load", func(w http.ResponseWriter, _ *http.Request) {
		json.NewEncoder(w).Encode(tracker.Load{Incarnation: started})
	})
	mux.HandleFunc("/", s.serveCall)
	return mux
}

func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
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
	dropResponse, delay := s.dropResponse, s.delay
	s.mu.Unlock()
	time.Sleep(delay)
	if dropResponse != nil && dropResponse(r) {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(map[string]any{"path": r.URL.Path, "key": key, "bytes": len(body)})
}

// HostList is the platform's list of hosts. Changes become visible after a delay.
type HostList struct {
	// Delay is the time until a change becomes visible.
	Delay time.Duration

	mu      sync.Mutex
	hosts   map[string]prober.ListedHost
	changes []hostChange
}

// hostChange is a host's new state, visible from a time on.
type hostChange struct {
	visibleAt time.Time
	host      prober.ListedHost
}

// Set adds or replaces a host.
func (l *HostList) Set(host prober.ListedHost) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.changes = append(l.changes, hostChange{time.Now().Add(l.Delay), host})
}

// Handler returns the HTTP API of the list.
func (l *HostList) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/hosts", func(w http.ResponseWriter, _ *http.Request) {
		json.NewEncoder(w).Encode(l.visible())
	})
	return mux
}

// visible returns the hosts with all changes that have become visible.
func (l *HostList) visible() []prober.ListedHost {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.hosts == nil {
		l.hosts = make(map[string]prober.ListedHost)
	}
	var later []hostChange
	for _, c := range l.changes {
		if c.visibleAt.After(time.Now()) {
			later = append(later, c)
			continue
		}
		l.hosts[c.host.Name] = c.host
	}
	l.changes = later
	out := make([]prober.ListedHost, 0, len(l.hosts))
	for _, host := range l.hosts {
		out = append(out, host)
	}
	return out
}
