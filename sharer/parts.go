package sharer

import (
	"time"

	"github.com/sardineward/sardineward/isolator"
	"github.com/sardineward/sardineward/peer"
)

const (
	// maxPromptParts bounds the parts of prompts sent in one exchange: 4 KB.
	maxPromptParts = 16
	// maxPartCrashes and maxPartBytes bound what is taken of a part that a peer sends.
	maxPartCrashes = 32
	maxPartBytes   = 64
	// maxLosses and maxAnsweredParts bound the lost upstreams and the answered parts sent in one exchange.
	maxLosses        = 64
	maxAnsweredParts = 32
)

// promptParts returns what is known of crashing parts of prompts, to send to a peer.
func (s *Sharer) promptParts() []*peer.PromptPart {
	if s.Isolator == nil {
		return nil
	}
	now := s.Isolator.Time(s.Now())
	list := s.Isolator.States(maxPromptParts)
	out := make([]*peer.PromptPart, len(list))
	for i := range list {
		st := &list[i]
		p := &peer.PromptPart{
			Part: string(st.Part), Depth: uint32(st.Depth), AnsweredAge: encodeAge(now, st.AnsweredAt), IsolatedAge: encodeAge(now, st.IsolatedAt),
			Workspace: st.Workspace, Confirmed: st.Confirmed, Tentative: st.Tentative, Samples: uint32(st.Samples), SampledAge: encodeAge(now, st.SampledAt), RequestedAge: encodeAge(now, st.RequestedAt),
		}
		for _, c := range st.Crashes {
			p.Crashes = append(p.Crashes, &peer.PartCrash{Upstream: c.Upstream, AgeMs: (now - c.At).Milliseconds(), Workspaces: c.Workspaces, Requests: c.Requests})
		}
		out[i] = p
	}
	return out
}

// applyPromptParts merges what a peer knows of crashing parts of prompts.
func (s *Sharer) applyPromptParts(list []*peer.PromptPart) {
	if s.Isolator == nil || len(list) == 0 {
		return
	}
	now := s.Isolator.Time(s.Now())
	var out []isolator.State
	for _, p := range list[:min(len(list), maxPromptParts)] {
		if p.Part == "" || len(p.Part) > maxPartBytes || len(p.Crashes) > maxPartCrashes {
			continue
		}
		st := isolator.State{
			Part: isolator.Part(p.Part), Depth: int(p.Depth), AnsweredAt: decodeAge(now, p.AnsweredAge), IsolatedAt: decodeAge(now, p.IsolatedAge),
			Workspace: p.Workspace, Confirmed: p.Confirmed, Tentative: p.Tentative, Samples: int(p.Samples), SampledAt: decodeAge(now, p.SampledAge), RequestedAt: decodeAge(now, p.RequestedAge),
		}
		for _, c := range p.Crashes {
			st.Crashes = append(st.Crashes, isolator.Crash{Upstream: c.Upstream, At: now - millis(c.AgeMs), Workspaces: c.Workspaces, Requests: c.Requests})
		}
		out = append(out, st)
	}
	s.Isolator.Merge(s.Now(), out)
}

// losses returns the upstreams that were lost just now, to send to a peer.
func (s *Sharer) losses() []*peer.Loss {
	if s.Isolator == nil {
		return nil
	}
	now := s.Isolator.Time(s.Now())
	list := s.Isolator.Losses(s.Now(), maxLosses)
	out := make([]*peer.Loss, len(list))
	for i, l := range list {
		out[i] = &peer.Loss{Upstream: l.Upstream, AgeMs: (now - l.At).Milliseconds()}
	}
	return out
}

// applyLosses merges the lost upstreams that a peer knows of.
func (s *Sharer) applyLosses(list []*peer.Loss) {
	if s.Isolator == nil || len(list) == 0 {
		return
	}
	now := s.Isolator.Time(s.Now())
	var out []isolator.Crash
	for _, l := range list[:min(len(list), maxLosses)] {
		if l.Upstream != "" && l.AgeMs >= 0 {
			out = append(out, isolator.Crash{Upstream: l.Upstream, At: now - millis(l.AgeMs)})
		}
	}
	s.Isolator.MergeLosses(out)
}

// answeredParts returns the parts of prompts that were answered just now, to send to a peer.
func (s *Sharer) answeredParts() []*peer.AnsweredPart {
	if s.Isolator == nil {
		return nil
	}
	now := s.Isolator.Time(s.Now())
	list := s.Isolator.Answers(s.Now(), maxAnsweredParts)
	out := make([]*peer.AnsweredPart, len(list))
	for i, a := range list {
		out[i] = &peer.AnsweredPart{Part: string(a.Part), AgeMs: (now - a.At).Milliseconds()}
	}
	return out
}

// applyAnsweredParts merges the answered parts that a peer knows of.
func (s *Sharer) applyAnsweredParts(list []*peer.AnsweredPart) {
	if s.Isolator == nil || len(list) == 0 {
		return
	}
	now := s.Isolator.Time(s.Now())
	var out []isolator.Answer
	for _, a := range list[:min(len(list), maxAnsweredParts)] {
		if a.Part != "" && len(a.Part) <= maxPartBytes && a.AgeMs >= 0 {
			out = append(out, isolator.Answer{Part: isolator.Part(a.Part), At: now - millis(a.AgeMs)})
		}
	}
	s.Isolator.MergeAnswers(s.Now(), out)
}

// encodeAge returns the age of a time in milliseconds plus 1; 0 for the time 0, which is never.
func encodeAge(now, at time.Duration) int64 {
	if at == 0 {
		return 0
	}
	return max(0, (now-at).Milliseconds()) + 1
}

// decodeAge returns the time of an age of encodeAge.
func decodeAge(now time.Duration, age int64) time.Duration {
	if age <= 0 {
		return 0
	}
	return now - millis(age-1)
}
