package faker

import (
	"net/http"
	"slices"
	"strings"
	"time"
)

// CrashingPart begins the ids of parts of prompts that crash each Stage that begins an answer to them.
const CrashingPart = "dead"

// crashingPart returns the id of the crashing part of a request's prompt, or an empty text.
func (s *Stage) crashingPart(r *http.Request) string {
	for part := range strings.SplitSeq(r.Header.Get(s.headers().Parts), ",") {
		if id, _, _ := strings.Cut(part, ":"); strings.HasPrefix(id, CrashingPart) {
			return id
		}
	}
	return ""
}

// crash records a crash and ends the stage, and returns once the caller is disconnected.
func (s *Stage) crash(r *http.Request, part string) {
	s.mu.Lock()
	if r.Context().Err() == nil {
		s.crashes = append(s.crashes, StageCrash{At: time.Now(), Part: part})
	}
	s.mu.Unlock()
	go s.Crash()
	<-r.Context().Done()
}

// beginAndCrash sends the head of an answer and crashes as the first event is due.
func (s *Stage) beginAndCrash(w http.ResponseWriter, r *http.Request, part string) {
	_ = http.NewResponseController(w).Flush()
	if sleep(r.Context(), s.EventInterval) {
		s.crash(r, part)
	}
}

// StageCrash is a crash of a Stage by a request.
type StageCrash struct {
	At time.Time
	// Part is the crashing part of the request's prompt; empty for another cause.
	Part string
}

// PartRule bounds the requests with a crashing part that reach upstreams, as the users count them.
type PartRule struct {
	// Crashes is the number of crashes from which the rule counts, Window the time after the last of these in
	// which requests may still arrive.
	Crashes int
	Window  time.Duration
}

// Late returns, by crashing part, the requests that reached stages too late, and the time of the crash from
// which the rule counts, or of the last one if there are fewer.
func (r PartRule) Late(stages []*Stage) (late map[string][]ReceivedRequest, counted map[string]time.Time) {
	crashes := make(map[string][]time.Time)
	for _, s := range stages {
		s.mu.Lock()
		for _, c := range s.crashes {
			crashes[c.Part] = append(crashes[c.Part], c.At)
		}
		s.mu.Unlock()
	}
	late, counted = make(map[string][]ReceivedRequest), make(map[string]time.Time)
	for part, list := range crashes {
		slices.SortFunc(list, time.Time.Compare)
		counted[part] = list[min(len(list), r.Crashes)-1]
	}
	for _, s := range stages {
		for _, one := range s.Received() {
			if len(crashes[one.CrashingPart]) >= r.Crashes && one.At.Sub(counted[one.CrashingPart]) > r.Window {
				late[one.CrashingPart] = append(late[one.CrashingPart], one)
			}
		}
	}
	delete(late, "")
	return late, counted
}
