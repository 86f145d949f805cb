package storer

//go:generate enumer -type Purpose -trimprefix Purpose -transform title-lower -output purpose_gen.go

// Purpose is what a call to the service is for.
type Purpose int

const (
	// PurposeList reads a page of all entries, PurposeChanges what changed since, PurposeRead one
	// entry, and PurposeStaleRead one that may be seconds old.
	PurposeList Purpose = iota
	PurposeChanges
	PurposeRead
	PurposeStaleRead
	PurposeWrite
	// PurposeGrant, PurposeRenewal and PurposeRevocation create, extend and end a lease.
	PurposeGrant
	PurposeRenewal
	PurposeRevocation
)

// Counter is a Store that counts its calls by what they are for, failed ones included.
type Counter interface {
	CallCount(p Purpose) int64
	FailedCallCount(p Purpose) int64
}
