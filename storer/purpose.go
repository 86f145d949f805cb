package storer

//go:generate enumer -type Purpose -trimprefix Purpose -transform title-lower -output purpose_gen.go

// Purpose is what a call to the service is for.
type Purpose int

// A list is a page of all entries, changes are those since a revision, and a stale read is one of an
// entry that may be seconds old. Grants, renewals and revocations create, extend and end a lease.
const (
	PurposeList Purpose = iota
	PurposeChanges
	PurposeRead
	PurposeStaleRead
	PurposeWrite
	PurposeGrant
	PurposeRenewal
	PurposeRevocation
)

// Counter is a Store that counts its calls by what they are for, failed ones included.
type Counter interface {
	CallCount(p Purpose) int64
	FailedCallCount(p Purpose) int64
}
