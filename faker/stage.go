package faker

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/sardineward/sardineward/balancer"
	"github.com/sardineward/sardineward/forwarder"
)

// StageFault is the fault that a Stage applies to a request.
type StageFault int

// Faults of a Stage.
const (
	// StageFaultNone answers normally.
	StageFaultNone StageFault = iota
	// StageFaultOverloaded refuses the request as not executed.
	StageFaultOverloaded
	// StageFaultReset executes the request and breaks the connection.
	StageFaultReset
	// StageFaultStatus500 executes the request and responds with status 500.
	StageFaultStatus500
	// StageFaultWrongResponse sends a response to another request before the right one.
	StageFaultWrongResponse
	// StageFaultUnsigned responds without the signature in the header Stamp.
	StageFaultUnsigned
	// StageFaultBrokenStream breaks the connection in the middle of the third event of a stream.
	StageFaultBrokenStream
	// StageFaultSilent executes the request and never responds.
	StageFaultSilent
	// StageFaultUndelimited sends a response of Proto with neither a length nor chunks, which ends with its
	// connection; StageFaultUndelimitedBroken ends a stream inside its third event.
	StageFaultUndelimited
	StageFaultUndelimitedBroken
	// StageFaultEndless executes the request and sends the head of a response, then bytes without end, for a
	// stream in its first event, at most maxEndlessBytes.
	StageFaultEndless
	// StageFaultNoWholeEvent breaks the connection in the middle of the first event of a stream.
	StageFaultNoWholeEvent
	// StageFaultNoEvent ends a stream as whole before its first event.
	StageFaultNoEvent
	// StageFaultCopiedRejection refuses the request as not executed, and writes the refusal again before the next response on
	// its connection.
	StageFaultCopiedRejection
)

// refuses reports whether a request with the fault is not executed.
func (t StageFault) refuses() bool {
	return t == StageFaultOverloaded || t == StageFaultCopiedRejection
}

// Stage is a fake upstream that implements http.Handler. It streams events for paths below
// /stream/ and answers all other requests with a short text. Exported fields are set before use.
type Stage struct {
	ID string
	// Headers holds the header names that it uses; nil means forwarder.DefaultHeaders.
	Headers *forwarder.Headers
	// Proto is the protocol of responses by StageFaultUndelimited; empty means HTTP/1.1.
	Proto string
	// Events is the number of events in a stream, EventInterval the time before each of them.
	Events        int
	EventInterval time.Duration
	// ResponseDelay is the time before a response that is not a stream.
	ResponseDelay time.Duration
	// Slots is how many requests it executes at once; it refuses further ones as not executed. 0
	// means any number.
	Slots int
	// Delivered reports whether the response to a request reached its sender whole; nil means always.
	Delivered func(one *ReceivedRequest) bool
	// Crash is called in its own goroutine for a request whose body contains Poison, or as the answer to one
	// whose prompt has a part that CrashingPart begins; nil means that the request is answered normally.
	Crash func()

	mu      sync.Mutex
	limits  limitHistory
	backoff backoff
	// leaving is the value of the header Leaving; empty means no header.
	leaving string
	crashes []StageCrash
	faults  []StageFault
	// faultOf chooses the fault of a request where faults is empty; nil means none.
	faultOf   func(r *http.Request) StageFault
	received  []ReceivedRequest
	abandoned int
	running   int
	// endlessTaken is the most bytes that were taken of a response by StageFaultEndless.
	endlessTaken int
}

// ReceivedRequest is a request as a Stage received it.
type ReceivedRequest struct {
	RequestID, Workspace, Path, Key, Target, Body string
	LastEventID                                   string
	// Urgency is the value of the urgency header.
	Urgency    string
	DeadlineMs int
	// CrashingPart is the id of the part of its prompt that crashes stages; empty if none does.
	CrashingPart string
	// Executed is false if the request was refused as not executed.
	Executed bool
	// Backoff is the wait that its rejection asked the host for; 0 if none.
	Backoff time.Duration
	// ToldLeaving is set if the response announced that the stage leaves.
	ToldLeaving bool
	// From is the address of the sender, in a Network the location that dialled.
	From string
	// At is the time at which it was received.
	At time.Time
}

func (s *Stage) headers() *forwarder.Headers {
	if s.Headers != nil {
		return s.Headers
	}
	return &forwarder.DefaultHeaders
}

// SetFaults sets the faults of the next requests, one for each request.
func (s *Stage) SetFaults(list ...StageFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = list
}

// SetFaultOf sets the function that chooses the fault of each request for which SetFaults set none; nil means no
// fault.
func (s *Stage) SetFaultOf(f func(r *http.Request) StageFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faultOf = f
}

// Received returns all requests received, in order.
func (s *Stage) Received() []ReceivedRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]ReceivedRequest(nil), s.received...)
}

// AddReceived adds a request as if it had been received, for tests of checks on what was.
func (s *Stage) AddReceived(one ReceivedRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.received = append(s.received, one)
}

// IsDelivered reports whether the response to a request reached its sender.
func (s *Stage) IsDelivered(one *ReceivedRequest) bool { return s.Delivered == nil || s.Delivered(one) }

// Runs returns how often a request with an id was executed.
func (s *Stage) Runs(id string) int {
	n := 0
	for _, one := range s.Received() {
		if one.RequestID == id && one.Executed {
			n++
		}
	}
	return n
}

// Abandoned returns the number of callers that disconnected before the end of their response.
func (s *Stage) Abandoned() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.abandoned
}

// receive records a request. It returns the fault to apply to it, and the Retry-After of its
// rejection or an empty text.
func (s *Stage) receive(r *http.Request, body string) (t StageFault, retryAfter string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	rejected := s.backoff.retryAfter != ""
	switch {
	case rejected:
	case len(s.faults) > 0:
		t, s.faults = s.faults[0], s.faults[1:]
	case s.faultOf != nil:
		t = s.faultOf(r)
	}
	if s.Slots > 0 && s.running >= s.Slots && !rejected {
		t = StageFaultOverloaded
	}
	executed := !t.refuses() && !rejected
	if executed {
		s.running++
	}
	h := s.headers()
	left, _ := strconv.Atoi(r.Header.Get(h.DeadlineMs))
	s.received = append(s.received, ReceivedRequest{
		RequestID:    r.Header.Get(h.RequestID),
		Workspace:    r.Header.Get(h.Workspace),
		Path:         r.Header.Get(h.Path),
		Key:          r.Header.Get("Authorization"),
		Target:       r.RequestURI,
		Body:         body,
		LastEventID:  r.Header.Get("Last-Event-Id"),
		Urgency:      r.Header.Get(h.Urgency),
		DeadlineMs:   left,
		CrashingPart: s.crashingPart(r),
		Executed:     executed,
		Backoff:      s.backoff.wait,
		ToldLeaving:  s.leaving == "1",
		From:         r.RemoteAddr,
		At:           time.Now(),
	})
	return t, s.backoff.retryAfter
}

// finish ends the execution of a request.
func (s *Stage) finish() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

// loadHeader returns the value of the header Load.
func (s *Stage) loadHeader() string {
	if s.Slots == 0 {
		return "1,0,8"
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf("%d,0,%d", s.running, s.Slots)
}

// ServeHTTP implements http.Handler.
func (s *Stage) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := s.headers()
	body := new(strings.Builder)
	if _, err := bufio.NewReader(r.Body).WriteTo(body); err != nil {
		return
	}
	t, retryAfter := s.receive(r, body.String())
	if !t.refuses() && retryAfter == "" {
		defer s.finish()
	}
	if s.Crash != nil && strings.Contains(body.String(), Poison) {
		s.crash(r, "")
		return
	}
	w.Header().Set(h.RequestID, r.Header.Get(h.RequestID))
	if t != StageFaultUnsigned {
		w.Header().Set(h.Stamp, "stamp-"+s.ID)
	}
	w.Header().Set(h.Load, s.loadHeader())
	s.setLimitHeader(w.Header(), h.Limit)
	s.setLeavingHeader(w.Header())
	if retryAfter != "" {
		s.rejectWithBackoff(w, retryAfter)
		return
	}
	switch t {
	case StageFaultOverloaded:
		w.Header().Set(h.NotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	case StageFaultCopiedRejection:
		s.rejectTwice(w, r)
	case StageFaultReset:
		panic(http.ErrAbortHandler)
	case StageFaultSilent:
		s.waitForDisconnect(r)
	case StageFaultUndelimited, StageFaultUndelimitedBroken:
		s.serveUndelimited(w, r, t)
	case StageFaultEndless:
		s.serveEndless(w, r)
	case StageFaultStatus500:
		http.Error(w, "failed", http.StatusInternalServerError)
	case StageFaultWrongResponse:
		s.serveWrongResponse(w, r)
	default:
		if part := s.crashingPart(r); part != "" && s.Crash != nil {
			s.beginAndCrash(w, r, part)
			return
		}
		if strings.HasPrefix(r.URL.Path, "/stream/") {
			s.serveStream(w, r, t)
			return
		}
		s.servePlain(w, r)
	}
}

// waitForDisconnect waits until the caller disconnects and counts that.
func (s *Stage) waitForDisconnect(r *http.Request) {
	<-r.Context().Done()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.abandoned++
}

func (s *Stage) servePlain(w http.ResponseWriter, r *http.Request) {
	if !sleep(r.Context(), s.ResponseDelay) {
		s.waitForDisconnect(r)
		return
	}
	_, _ = fmt.Fprintf(w, "answer of %s to %s", s.ID, r.Header.Get(s.headers().RequestID))
}

// serveUndelimited writes a response whose end is that of its connection.
func (s *Stage) serveUndelimited(w http.ResponseWriter, r *http.Request, t StageFault) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	h, id := s.headers(), r.Header.Get(s.headers().RequestID)
	_, _ = fmt.Fprintf(conn, "%s 200 OK\r\n%s: %s\r\n%s: stamp-%s\r\n\r\n", cmp.Or(s.Proto, "HTTP/1.1"), h.RequestID, id, h.Stamp, s.ID)
	if !strings.HasPrefix(r.URL.Path, "/stream/") {
		_, _ = fmt.Fprintf(conn, "answer of %s to %s", s.ID, id)
		return
	}
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for n := from + 1; n <= s.Events; n++ {
		time.Sleep(s.EventInterval)
		if t == StageFaultUndelimitedBroken && n == from+3 {
			_, _ = fmt.Fprintf(conn, "id: %d\ndata: event", n)
			return
		}
		_, _ = fmt.Fprintf(conn, "id: %d\ndata: event %d\n\n", n, n)
	}
}

// maxEndlessBytes bounds a response without end, so that a caller that reads it whole fails its test.
const maxEndlessBytes = 32 << 20

// serveEndless writes a body without a length until the caller disconnects.
func (s *Stage) serveEndless(w http.ResponseWriter, r *http.Request) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	h := s.headers()
	_, err = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: stamp\r\n\r\nid: 1\n", h.RequestID, r.Header.Get(h.RequestID), h.Stamp)
	taken, chunk := 0, strings.Repeat("x", 1<<10)
	for err == nil && taken < maxEndlessBytes {
		var n int
		n, err = io.WriteString(conn, chunk)
		taken += n
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endlessTaken = max(s.endlessTaken, taken)
}

// EndlessTaken returns the most bytes of a response without end that a caller has taken.
func (s *Stage) EndlessTaken() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.endlessTaken
}

// serveWrongResponse writes a late response to another request before the response to this one.
func (s *Stage) serveWrongResponse(w http.ResponseWriter, r *http.Request) {
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

// serveStream streams the events after the one that Last-Event-Id names.
func (s *Stage) serveStream(w http.ResponseWriter, r *http.Request, t StageFault) {
	ctl := http.NewResponseController(w)
	w.Header().Set("Content-Type", "text/event-stream")
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if t == StageFaultNoEvent {
		return
	}
	for n := from + 1; n <= s.Events; n++ {
		if !sleep(r.Context(), s.EventInterval) {
			s.waitForDisconnect(r)
			return
		}
		if t == StageFaultBrokenStream && n == from+3 || t == StageFaultNoWholeEvent && n == from+1 {
			_, _ = fmt.Fprintf(w, "id: %d\nda", n)
			_ = ctl.Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: event %d\n\n", n, n)
		_ = ctl.Flush()
	}
}

// NoEngines is a launcher.Engines whose upstreams accept no orders and report nothing.
type NoEngines struct{}

// Place implements orderer.Engines.
func (NoEngines) Place(context.Context, balancer.Hop, balancer.Span, int64) error { return nil }

// OrderCount implements orderer.Engines.
func (NoEngines) OrderCount(context.Context, balancer.Hop) (int64, error) { return 0, nil }

// Repath implements forwarder.Engines.
func (NoEngines) Repath(context.Context, string, []balancer.Hop) error { return errUnavailable }

// Pace implements pacer.Engines.
func (NoEngines) Pace(context.Context, balancer.Hop) (float64, error) { return 1, nil }

// QueryStalls implements forwarder.Engines.
func (NoEngines) QueryStalls(context.Context, balancer.Hop) ([]forwarder.Stall, error) {
	return nil, nil
}
