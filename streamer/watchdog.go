package streamer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// hardFactor is how many limits of silence end an attempt though all its stages
// answer: the sequence itself is lost somewhere.
const hardFactor = 32

// watchdog ends an attempt whose stream is silent.
//
// A stage was frozen, or a link swallowed its packets: nothing broke, so nothing
// was reported, and the caller's stream stood still. After a limit of silence
// the stages are asked whether they live; when one doesn't answer the attempt is
// canceled, which cancels it upstream too, and the next one goes around it.
// Silence alone is no proof: under load, tokens of all streams come late at
// once, and moving them only added load. So while all stages answer, the limit
// doubles, up to a hard one.
type watchdog struct {
	cancel context.CancelFunc
	// limit is the silence after which the stages are asked.
	limit time.Duration
	// doubt returns a stage that doesn't answer, or nothing.
	doubt func() string

	fired atomic.Bool
	mu    sync.Mutex
	timer *time.Timer
	// beat counts starts and stops; a verdict on an earlier silence is void.
	beat int
	bad  string
}

// start begins to wait for a frame.
func (w *watchdog) start() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.beat++
	if w.timer == nil {
		w.timer = time.AfterFunc(w.limit, w.fire)
		return
	}
	w.timer.Reset(w.limit)
}

func (w *watchdog) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.beat++
	w.timer.Stop()
}

// silent is the stage that didn't answer; empty when all did.
func (w *watchdog) silent() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.bad
}

// fire asks the stages until one doesn't answer, a frame comes, or the hard
// limit is over. It runs in the timer's goroutine.
func (w *watchdog) fire() {
	w.mu.Lock()
	beat := w.beat
	w.mu.Unlock()
	for waited := w.limit; ; waited *= 2 {
		bad := w.doubt()
		if w.judge(beat, bad, waited >= hardFactor*w.limit) {
			return
		}
		time.Sleep(waited)
	}
}

// judge reports whether the silence is over, one way or the other.
func (w *watchdog) judge(beat int, bad string, hard bool) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.beat != beat {
		return true
	}
	if bad == "" && !hard {
		return false
	}
	w.bad = bad
	w.fired.Store(true)
	w.cancel()
	return true
}
