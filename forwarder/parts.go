package forwarder

import (
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"github.com/sardineward/sardineward/admitter"
	"github.com/sardineward/sardineward/isolator"
)

// errPartIsolated cancels an attempt because a part of its prompt was isolated.
var errPartIsolated = errors.New("forwarder: a part of the prompt crashes upstreams")

// soundAfter is how long events must go on until a request counts as one that crashes nothing: some
// upstreams still send events while they crash.
const soundAfter = time.Second

// partsHeader returns the list of the prompt's parts.
func (k *call) partsHeader() string { return strings.Join(k.r.Header.Values(k.Headers.Parts), ",") }

// checkParts decides on the parts of the request's prompt. again is set if an upstream failed it.
func (k *call) checkParts(again bool) isolator.Verdict {
	if len(k.parts) == 0 {
		return isolator.Verdict{}
	}
	return k.Isolator.Check(k.Now(), k.parts, isolator.Workspace(k.suspect().workspace), again)
}

// hasIsolatedPart reports whether requests with a part of the prompt are refused.
func (k *call) hasIsolatedPart() bool {
	return k.Isolator.Refuses(k.parts, isolator.Workspace(k.suspect().workspace))
}

// refuseIsolated refuses a request whose prompt has a part that crashes upstreams, or any part before this
// host knows which do, and reports whether it did.
func (k *call) refuseIsolated(again bool) bool {
	if len(k.parts) > 0 && k.PartsKnown != nil && !k.PartsKnown() {
		return !k.refuse(admitter.ReasonNotReady, "isolated parts of prompts are not known yet")
	}
	v := k.checkParts(again)
	if !v.Refused {
		return false
	}
	k.retryAfter = v.Wait
	return !k.refuse(admitter.ReasonPromptPart, "part "+string(v.Part)+" of its prompt crashes upstreams")
}

// isSuspected reports whether the crash of an upstream may be due to an attempt: it has not begun, or just now
// and with a part of which no answer is known.
func (f *Forwarder) isSuspected(a *attempt) bool {
	if !a.begun.Load() {
		return true
	}
	now := f.Now()
	return now-time.Duration(a.begunAt.Load()) < soundAfter && f.Isolator.HasUnproven(now, a.suspect.parts)
}

// ExplainsCrash reports whether a request with an isolated part was in flight when an upstream crashed, so that the
// crash does not count against the other requests. tracker.Suspects calls it.
func (f *Forwarder) ExplainsCrash(upstream string, at time.Time) bool {
	return f.Isolator.Explains(f.Now()-time.Since(at), upstream)
}

// WithdrawIsolated withdraws the requests with an isolated part that have not begun, so that they crash no
// further upstream. isolator.Isolator calls it.
func (f *Forwarder) WithdrawIsolated(s isolator.State, learned bool) {
	withdrawn := 0
	f.mu.Lock()
	for a := range f.streams {
		if !a.begun.Load() && s.Refuses(isolator.Workspace(a.suspect.workspace)) && slices.Contains(a.suspect.parts, s.Part) {
			a.cancel(errPartIsolated)
			withdrawn++
		}
	}
	f.mu.Unlock()
	f.logPart(f.Log.Warn(), s, learned).Int("withdrawn", withdrawn).Msg("forwarder: part of prompts isolated, it crashes upstreams")
}

// LogReleased logs that a part is no longer isolated. isolator.Isolator calls it.
func (f *Forwarder) LogReleased(s isolator.State, learned bool) {
	f.logPart(f.Log.Warn(), s, learned).Msg("forwarder: part of prompts released")
}

// LogWithheld logs that a part is not isolated, since upstreams are lost without it too. isolator.Isolator calls it.
func (f *Forwarder) LogWithheld(s isolator.State) {
	f.logPart(f.Log.Info(), s, false).Msg("forwarder: part of prompts not isolated, upstreams were lost without it too")
}

// logPart adds what is known of a part to a log line.
func (f *Forwarder) logPart(event *zerolog.Event, s isolator.State, learned bool) *zerolog.Event {
	now := f.Isolator.Time(f.Now())
	crashes := zerolog.Arr()
	for _, c := range s.Crashes {
		crashes.Dict(zerolog.Dict().Str("upstream", c.Upstream).Dur("ago", now-c.At))
	}
	if s.IsolatedAt > 0 {
		event.Dur("isolatedFor", now-s.IsolatedAt)
	}
	if s.AnsweredAt > 0 {
		event.Dur("answeredAgo", now-s.AnsweredAt)
	}
	return event.Str("part", string(s.Part)).Bool("learned", learned).Bool("allWorkspaces", s.Workspace == 0).Bool("tentative", s.Tentative).Int("samples", s.Samples).
		Int("moments", s.Moments).Int("momentsWithout", s.MomentsWithout).Array("crashes", crashes)
}
