package streamer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// maxSilenceFactor times the silence limit is the silence that ends an attempt even if all its stages
// respond: then the stages have lost the sequence.
const maxSilenceFactor = 32

// watchdog cancels an attempt whose stream is silent.
//
// A stage whose process hangs or a link that drops packets breaks no connection, so that no error
// ends the stream. After the silence limit the stages are probed. When one does not respond the
// attempt is canceled, which also cancels it at the stages, and the next attempt avoids that stage.
//
// Silence alone does not prove a fault: under load the tokens of all streams are late at once, and
// rerouting the streams only adds load. While all stages respond, the limit therefore doubles, up
// to maxSilenceFactor times.
type watchdog struct {
	cancel context.CancelFunc
	// silenceLimit is the silence after which the stages are first probed.
	silenceLimit time.Duration
	// probe returns the upstream of a stage that does not respond, or "".
	probe func() string

	// fired is set once the watchdog has canceled the attempt.
	fired atomic.Bool
	mu    sync.Mutex
	timer *time.Timer
	// epoch counts the calls of arm and disarm. The result of a probe that began in an earlier
	// epoch is ignored.
	epoch int
	// unresponsive is the stage for which the attempt was canceled, see unresponsiveStage.
	unresponsive string
}

// arm starts the timer for the next frame.
func (w *watchdog) arm() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.epoch++
	if w.timer == nil {
		w.timer = time.AfterFunc(w.silenceLimit, w.expire)
		return
	}
	w.timer.Reset(w.silenceLimit)
}

// disarm stops the timer and voids a probe that is under way.
func (w *watchdog) disarm() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.epoch++
	w.timer.Stop()
}

// unresponsiveStage returns the stage that did not respond; empty when all did.
func (w *watchdog) unresponsiveStage() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.unresponsive
}

// expire probes the stages until one does not respond, a frame arrives, or maxSilenceFactor is
// reached. It runs in the timer's goroutine.
func (w *watchdog) expire() {
	w.mu.Lock()
	epoch := w.epoch
	w.mu.Unlock()
	for waited := w.silenceLimit; ; waited *= 2 {
		unresponsive := w.probe()
		if w.decide(epoch, unresponsive, waited >= maxSilenceFactor*w.silenceLimit) {
			return
		}
		time.Sleep(waited)
	}
}

// decide reports whether probing ends: the epoch has changed, or a stage is unresponsive or final is
// set, in which case it cancels the attempt.
func (w *watchdog) decide(epoch int, unresponsive string, final bool) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.epoch != epoch {
		return true
	}
	if unresponsive == "" && !final {
		return false
	}
	w.unresponsive = unresponsive
	w.fired.Store(true)
	w.cancel()
	return true
}
