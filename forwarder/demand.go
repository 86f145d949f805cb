package forwarder

import (
	"github.com/sardineward/sardineward/admitter"
)

// demandKey returns what the demand of the request is counted by.
func (k *call) demandKey() admitter.DemandKey {
	out := admitter.DemandKey{Service: k.service.Name, Rank: k.rank}
	if k.workspace != nil {
		out.Workspace = k.workspace.Name
	}
	return out
}

// recordArrival counts the request where others may compete with it.
func (k *call) recordArrival() {
	if k.Demands != nil && k.table.Competes(k.service.Name) {
		k.Demands.RecordArrival(k.Now(), k.demandKey())
	}
}

// recordAdmitted records that the request got upstreams. It counts as admitted demand the first time.
func (k *call) recordAdmitted() {
	k.recordRankAdmitted()
	if k.admitted {
		return
	}
	k.admitted = true
	if k.Demands != nil && k.table.Competes(k.service.Name) {
		k.Demands.RecordAdmitted(k.Now(), k.demandKey())
	}
}
