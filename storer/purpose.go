package storer

//go:generate enumer -type Purpose -trimprefix Purpose -transform title-lower -output purpose_gen.go

// Purpose is what a call to the service is for.
type Purpose int

// The purposes of a call.
const (
	// PurposeList reads a page of all entries.
	PurposeList Purpose = iota
	// PurposeChanges reads what changed after a position.
	PurposeChanges
	// PurposeRead reads one entry.
	PurposeRead
	// PurposeStaleRead reads one entry that may be seconds old.
	PurposeStaleRead
	// PurposeWrite writes or removes entries.
	PurposeWrite
	// PurposeGrant creates a lease.
	PurposeGrant
	// PurposeRenewal extends a lease.
	PurposeRenewal
	// PurposeRevocation ends a lease.
	PurposeRevocation
)

// Counter is a Store that counts its calls by what they are for, failed ones included.
type Counter interface {
	CallCount(p Purpose) int64
	FailedCallCount(p Purpose) int64
}
