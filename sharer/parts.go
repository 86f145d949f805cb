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
			Workspace: st.Workspace, Confirmed: st.Confirmed, Samples: uint32(st.Samples), SampledAge: encodeAge(now, st.SampledAt), RequestedAge: encodeAge(now, st.RequestedAt),
		}
		for _, c := range st.Crashes {
			p.Crashes = append(p.Crashes, &peer.PartCrash{Upstream: c.Upstream, AgeMs: (now - c.At).Milliseconds(), Workspaces: c.Workspaces})
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
			Workspace: p.Workspace, Confirmed: p.Confirmed, Samples: int(p.Samples), SampledAt: decodeAge(now, p.SampledAge), RequestedAt: decodeAge(now, p.RequestedAge),
		}
		for _, c := range p.Crashes {
			st.Crashes = append(st.Crashes, isolator.Crash{Upstream: c.Upstream, At: now - millis(c.AgeMs), Workspaces: c.Workspaces})
		}
		out = append(out, st)
	}
	s.Isolator.Merge(s.Now(), out)
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
