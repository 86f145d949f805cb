package isolator

import (
	"cmp"
	"slices"
	"time"
)

const (
	// answerRefresh is the least time between two answers of a part that are sent to other hosts. The next one reaches
	// them before the last one expires by answerTTL.
	answerRefresh = 10 * time.Second
	// sharedAnswerAge is for how long an answer is sent to other hosts: several exchanges, as some are lost.
	sharedAnswerAge = 2 * time.Second
)

// Answer is the last answer known of a part.
type Answer struct {
	Part Part
	At   time.Duration
}

// sharedAnswer is an answer that is sent to other hosts.
type sharedAnswer struct {
	// at is when the part was answered, since when this host began to send that.
	at, since time.Duration
}

// Answers returns parts that were answered, to send to other hosts, at most limit, those that were answered last first. A
// host of a large fleet serves too few requests to know by itself which parts are sound.
func (i *Isolator) Answers(now time.Duration, limit int) []Answer {
	now = i.Time(now)
	i.mu.Lock()
	defer i.mu.Unlock()
	var out []Answer
	for p, n := range i.shared {
		if now-n.since <= sharedAnswerAge {
			out = append(out, Answer{Part: p, At: n.at})
		}
	}
	slices.SortFunc(out, func(a, b Answer) int { return cmp.Or(cmp.Compare(b.At, a.At), cmp.Compare(a.Part, b.Part)) })
	return out[:min(limit, len(out))]
}

// MergeAnswers adds the answers that another host knows of.
func (i *Isolator) MergeAnswers(now time.Duration, list []Answer) {
	now = i.Time(now)
	i.mu.Lock()
	var changed []State
	for _, a := range list {
		changed = append(changed, i.recordAnswer(now, a)...)
	}
	i.mu.Unlock()
	i.report(changed, true)
}

// recordAnswer records an answer and returns the state of its part if that released it.
func (i *Isolator) recordAnswer(now time.Duration, a Answer) []State {
	if n := i.shared[a.Part]; a.At-n.at >= answerRefresh && (n.at > 0 || len(i.shared) < maxAnswered) {
		if i.shared == nil {
			i.shared = make(map[Part]sharedAnswer)
		}
		i.shared[a.Part] = sharedAnswer{at: a.At, since: now}
	}
	if s := i.records[a.Part]; s != nil {
		return s.answer(a.At)
	}
	i.keepAnswer(a.Part, max(a.At, i.answered[a.Part]))
	return nil
}
