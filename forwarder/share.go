package forwarder

import (
	"github.com/sardineward/sardineward/admitter"
)

// refuseShare refuses a request of a workspace that takes more than its share while others of its
// rank lack theirs, and reports whether it did. One that returns as it was asked to is not refused.
func (k *call) refuseShare() bool {
	if !k.DivideCapacity || k.Demands == nil || k.workspace == nil || k.returning || !k.table.Competes(k.service.Name) {
		return false
	}
	s, exceeds := k.Demands.TakeShare(k.Now(), k.demandKey())
	if !exceeds {
		return false
	}
	k.Meter.ShareRefusals.Inc()
	k.Log.Info().Str("requestId", k.id).Str("workspace", k.workspace.Name).Str("service", k.service.Name).Int("rank", k.rank).
		Float64("share", s.Share).Float64("asked", s.Asked).Msg("forwarder: workspace exceeds its share")
	k.shareExceeded = true
	return !k.refuse(admitter.ReasonQueueFull, "workspace exceeds its share")
}

// recordLack counts a refusal for lack of capacity where workspaces may compete.
func (k *call) recordLack(reason admitter.Reason) {
	if reason == admitter.ReasonQueueFull && !k.shareExceeded && k.Demands != nil && k.table.Competes(k.service.Name) {
		k.Demands.RecordLack(k.Now(), k.demandKey())
	}
}
