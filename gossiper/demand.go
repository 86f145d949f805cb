package gossiper

import (
	"sync"

	"github.com/sardineward/sardineward/peer"
)

// leak pulls an average back towards the host's own demand at each exchange.
// A host that dies takes its part of the sum with it, and a lost answer changes
// one side of a pair only; without the leak such an error would stay for ever.
const leak = 0.02

// demandTable estimates the mean demand of each workspace over all hosts by
// pairwise averaging: in each exchange both sides move to the mean of the two.
// What a host adds itself is its change of demand since it last looked.
type demandTable struct {
	mu   sync.Mutex
	list uint32
	// own is this host's demand, average its estimate of the mean.
	own, average []float32
}

// set takes in this host's demand, in the order of the list.
func (t *demandTable) set(list uint32, own []float32) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.list != list || len(t.own) != len(own) {
		t.list = list
		t.own = append([]float32(nil), own...)
		t.average = append([]float32(nil), own...)
		return
	}
	for i, d := range own {
		t.average[i] += d - t.own[i]
		t.average[i] += leak * (d - t.average[i])
		t.own[i] = d
	}
}

// read copies the estimates; nil when they are of another list.
func (t *demandTable) read(list uint32) []float32 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.list != list {
		return nil
	}
	return append([]float32(nil), t.average...)
}

// message is what this host tells a peer.
func (t *demandTable) message() *peer.Demands {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.average) == 0 {
		return nil
	}
	return &peer.Demands{List: t.list, Averages: append([]float32(nil), t.average...)}
}

// answer averages with what a peer sent, and returns what this host had before.
func (t *demandTable) answer(in *peer.Demands) *peer.Demands {
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

// settle moves by half of the difference between what the peer had and what
// this host had sent; changes of its own in between are kept.
func (t *demandTable) settle(sent, got *peer.Demands) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if sent == nil || got == nil || got.List != t.list || sent.List != t.list || len(got.Averages) != len(t.average) {
		return
	}
	for i, v := range got.Averages {
		t.average[i] += (v - sent.Averages[i]) / 2
	}
}
