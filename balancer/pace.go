package balancer

import "time"

// paceAge is how long a reported pace is believed: three reports.
const paceAge = 3 * time.Second

// paceNews is the change of pace, as a ratio, that is worth a word.
const paceNews = 1.5

// SetPace notes how many times as long as its kind of accelerator an upstream
// takes for its work. It reports whether that differs much from before.
func (b *Balancer) SetPace(now time.Duration, id string, pace float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := b.ups[id]
	if u == nil {
		return false
	}
	old := max(1, u.pace)
	u.pace, u.paceAt = max(1, pace), now
	return u.pace > old*paceNews || old > u.pace*paceNews
}

// ownPace is what this host knows of an upstream's pace from its reports; 0 is
// nothing.
func (u *upstream) ownPace(now time.Duration) float64 {
	if u.paceAt == 0 || now-u.paceAt > paceAge {
		return 0
	}
	return u.pace
}

// pace is how many times as long as its kind of accelerator an upstream takes, by
// this host's own question or by the highest that others told.
func (b *Balancer) pace(now time.Duration, u *upstream) float64 {
	if own := u.ownPace(now); own > 0 {
		return own
	}
	out := 1.0
	for _, n := range b.heard {
		if now-n.at <= newsAge {
			out = max(out, n.passing[u.ID].Pace)
		}
	}
	return out
}
