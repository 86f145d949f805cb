package forwarder

import (
	"github.com/sardineward/sardineward/admitter"
	"github.com/sardineward/sardineward/matcher"
)

// contended is the services of a table for which demand is counted.
type contended struct {
	table    *matcher.Table
	services map[string]bool
}

// isContended reports whether requests of several ranks or workspaces may compete for the service.
func (k *call) isContended() bool {
	c := k.contended.Load()
	if c == nil || c.table != k.table {
		c = &contended{k.table, k.table.Contended()}
		k.contended.Store(c)
	}
	return c.services[k.service.Name]
}

// demandKey returns what the demand of the request is counted by.
func (k *call) demandKey() admitter.DemandKey {
	out := admitter.DemandKey{Service: k.service.Name, Rank: k.workspace.RankOn(k.route)}
	if k.workspace != nil {
		out.Workspace = k.workspace.Name
	}
	return out
}

// recordArrival counts the request where others may compete with it.
func (k *call) recordArrival() {
	if k.Demands != nil && k.isContended() {
		k.Demands.RecordArrival(k.Now(), k.demandKey())
	}
}

// recordAdmitted counts the request when it first gets upstreams.
func (k *call) recordAdmitted() {
	if k.admitted {
		return
	}
	k.admitted = true
	if k.Demands != nil && k.isContended() {
		k.Demands.RecordAdmitted(k.Now(), k.demandKey())
	}
}
