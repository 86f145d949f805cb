package admitter

import (
	"sync"
	"time"
)

// Window bounds retries to a part of the requests of the last seconds plus a
// fixed number, each shared among the hosts. It needs no messages: every host
// keeps to its part of the fixed number and to the ratio of its own requests,
// so that all together keep to the whole.
type Window struct {
	// Ratio is how many retries a request allows.
	Ratio float64
	// Length is the time over which both are counted, in whole seconds.
	Length time.Duration
	// Fixed is how many retries all hosts may make beyond the ratio.
	Fixed float64
	// Hosts is how many share Fixed; nil means 1.
	Hosts func() int

	mu     sync.Mutex
	counts []tally
	// second is the one that the last of counts holds.
	second int64
}

type tally struct{ requests, retries float64 }

// safety is the part of its share that a host uses. A host that was restarted
// does not know what it sent before, and windows slide between whole seconds.
const safety = 0.7

// Request counts one request of a caller.
func (b *Window) Request(now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.counts[len(b.counts)-1].requests++
}

// Spend takes one retry, or reports that there is none.
func (b *Window) Spend(now time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	var sum tally
	for _, c := range b.counts {
		sum.requests += c.requests
		sum.retries += c.retries
	}
	hosts := 1
	if b.Hosts != nil {
		hosts = max(1, b.Hosts())
	}
	share := b.Fixed / float64(hosts)
	most := safety * (b.Ratio*sum.requests + share)
	if share >= 1 {
		// With hundreds of hosts a host that has hardly begun would have no retry at all.
		most = max(most, 1)
	}
	if sum.retries+1 > most {
		return false
	}
	b.counts[len(b.counts)-1].retries++
	return true
}

// advance drops the seconds that are no longer in the window.
func (b *Window) advance(now time.Duration) {
	n := int(b.Length/time.Second) + 1
	s := int64(now / time.Second)
	if b.counts == nil || s-b.second >= int64(n) {
		b.counts = make([]tally, n)
	} else {
		for ; b.second < s; b.second++ {
			copy(b.counts, b.counts[1:])
			b.counts[n-1] = tally{}
		}
	}
	b.second = s
}
