package forwarder

import (
	"github.com/sardineward/sardineward/connector"
)

// RecordDial records the outcome of a dial to an upstream. connector.Pool calls it.
func (f *Forwarder) RecordDial(address string, purpose connector.Purpose, err error) {
	now := f.Now()
	if err == nil {
		before := f.Detector.State(now)
		if f.Detector.RecordAccept(now) {
			f.Log.Warn().Dur("lasted", now-before.Since).Msg("forwarder: upstreams accept connections again")
		}
		return
	}
	if purpose == connector.PurposeDeadProbe && !f.Detector.State(now).Suspicious() {
		return // an upstream that is known to be dead
	}
	if f.Detector.RecordFailure(now, address, !isTimeout(err)) {
		f.Log.Warn().Err(err).Str("address", address).EmbedObject(f.Detector.State(now)).Msg("forwarder: no upstream accepts connections")
	}
}
