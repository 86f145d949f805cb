package gossiper

import (
	"sync"

	"github.com/sardineward/sardineward/peer"
)

const (
	// calmLeak is the fraction by which each call of set moves an average back towards the host's own
	// demand. A lost response changes only one side of a pair; without the leak such errors would never
	// decay. Between two exchanges it moves the estimates of hosts apart.
	calmLeak = 0.01
	// lossLeak takes its place for lossUpdates calls after a host is gone, whose share of the sum is lost.
	lossLeak    = 0.02
	lossUpdates = 150
)

// demandTable estimates the mean demand of each workspace over all hosts by pairwise averaging:
// in an exchange both sides move to the mean of their estimates. A host adds changes of its own
// demand to its estimate. The zero value is ready to use.
type demandTable struct {
	mu sync.Mutex
	// list is the hash of the list of workspaces, which gives the order of own and average.
	list uint32
	// own is this host's demand and average its estimate of the mean, in requests per second.
	own, average []float32
	// lossUpdatesLeft is the number of further calls of set in which lossLeak holds.
	lossUpdatesLeft int
}

// recordLoss records that a host is gone.
func (t *demandTable) recordLoss() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lossUpdatesLeft = lossUpdates
}

// set updates this host's demand. For another list than before the estimates start anew.
func (t *demandTable) set(list uint32, own []float32) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.list != list || len(t.own) != len(own) {
		t.list = list
		t.own = append([]float32(nil), own...)
		t.average = append([]float32(nil), own...)
		return
	}
	leak := float32(calmLeak)
	if t.lossUpdatesLeft > 0 {
		t.lossUpdatesLeft--
		leak = lossLeak
	}
	for i, d := range own {
		t.average[i] += d - t.own[i]
		t.average[i] += leak * (d - t.average[i])
		t.own[i] = d
	}
}

// estimates returns a copy of the estimated means, or nil when they are of another list.
func (t *demandTable) estimates(list uint32) []float32 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.list != list {
		return nil
	}
	return append([]float32(nil), t.average...)
}

// message returns the estimates to send to a peer, or nil before the first set.
func (t *demandTable) message() *peer.Demands {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.average) == 0 {
		return nil
	}
	return &peer.Demands{List: t.list, Averages: append([]float32(nil), t.average...)}
}

// averageWith moves the estimates halfway to those of a peer, and returns the estimates from
// before as the response. It returns nil and changes nothing for another list.
func (t *demandTable) averageWith(in *peer.Demands) *peer.Demands {
	t.mu.Lock()
	defer t.mu.Unlock()
	if in == nil || in.List != t.list || len(in.Averages) != len(t.average) {
		return nil
	}
	out := &peer.Demands{List: t.list, Averages: append([]float32(nil), t.average...)}
	for i, v := range in.Averages {
		t.average[i] = (t.average[i] + v) / 2
	}
	return out
}

// applyAnswer moves the estimates by half the difference between what the peer had, got, and
// what this host sent. Changes that this host made since it sent them are kept.
func (t *demandTable) applyAnswer(sent, got *peer.Demands) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if sent == nil || got == nil || got.List != t.list || sent.List != t.list || len(got.Averages) != len(t.average) {
		return
	}
	for i, v := range got.Averages {
		t.average[i] += (v - sent.Averages[i]) / 2
	}
}
