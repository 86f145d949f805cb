package main

import (
	"fmt"
	"net/http"
	"time"
)

// maxAttempts is max-attempts of the route of streams.
const maxAttempts = 2

// playAttempts lets some servers leave without a report, while others lose a part of their answers.
func playAttempts(w *world) (verdict, error) {
	const (
		servers, faulty, leaving = 12, 7, 3
		perSecond                = 250
		waves                    = 2
		serving                  = 9 * time.Second
	)
	if err := w.begin(func() error {
		stream := server{service: "yard-assistant", slots: 192, pieces: 36, gap: 50 * time.Millisecond}
		if err := w.addServers(servers-faulty, &stream); err != nil {
			return err
		}
		stream.breakShare = 0.4
		return w.addServers(faulty, &stream)
	}); err != nil {
		return verdict{}, err
	}
	stop := make(chan struct{})
	sent, served := w.traffic(func(n int) *request {
		return &request{method: http.MethodPost, path: "/draft/2f", body: fmt.Sprintf("draft %d", n), prefix: fmt.Sprintf("5c1e07a2:40,%08x:720", n+1), tokens: "760,172", deadline: 20 * time.Second}
	}, perSecond, stop)
	time.Sleep(6 * time.Second)
	if n := sent.Load() - 4*perSecond; served.Load() < n*9/10 {
		return verdict{}, errUnserved
	}
	for wave := range waves {
		w.record("wave %d", wave+1)
		if w.trouble {
			w.record("for 4 s, servers break off a part of their answers")
			w.losing.Store(true)
		}
		time.Sleep(1500 * time.Millisecond)
		for n := range leaving {
			if w.trouble {
				w.servers[servers-faulty+wave*leaving+n].leave(serving)
			}
		}
		time.Sleep(2500 * time.Millisecond)
		w.losing.Store(false)
		time.Sleep(8 * time.Second)
	}
	close(stop)
	time.Sleep(4 * time.Second)
	return w.judgeAttempts(), nil
}

// judgeAttempts applies the rule "More than three requests of clients run, in one client attempt, on more runners than their
// route's max-attempts; runners that ended or were cut off meanwhile don't count".
func (w *world) judgeAttempts() verdict {
	const tolerated = 3
	ended := make(map[string]time.Time)
	for _, s := range w.servers {
		s.mu.Lock()
		ended[s.id] = s.endedAt
		s.mu.Unlock()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	ran := make(map[string]map[string]bool)
	for _, a := range w.arrivals {
		if a.refused {
			continue
		}
		// A server that ended before the client had its answer doesn't count.
		if end := ended[a.server]; !end.IsZero() && end.Before(w.endings[a.id]) {
			continue
		}
		if ran[a.id] == nil {
			ran[a.id] = make(map[string]bool)
		}
		ran[a.id][a.server] = true
	}
	over, example := 0, ""
	for id, servers := range ran {
		if len(servers) > maxAttempts {
			over, example = over+1, id
		}
	}
	return verdict{over > tolerated, fmt.Sprintf("%d of %d requests ran on more than %d servers (%d are allowed), the last found is %q", over, len(ran), maxAttempts, tolerated, example)}
}
