package connector

import (
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"
)

// maxRefused is how many requests may be refused over one connection until it is closed.
const maxRefused = 32

// refusedIDs holds the requests that were refused over a connection, by the hash of their id. The zero value is empty.
type refusedIDs struct{ hashes []uint64 }

func (r *refusedIDs) add(id string) {
	if id != "" && len(r.hashes) < maxRefused {
		r.hashes = append(r.hashes, xxhash.Sum64String(id))
	}
}

func (r *refusedIDs) contains(id string) bool {
	return id != "" && len(r.hashes) > 0 && slices.Contains(r.hashes, xxhash.Sum64String(id))
}

// ConnUse describes the connection that carried a request.
type ConnUse struct {
	// Earlier is the number of requests that it carried before; 0 for a new connection.
	Earlier int
	// Repeated is set if it carried the same request before, and an upstream refused that.
	Repeated bool
	// Skipped is the number of responses to other requests that came before the one to this request.
	Skipped int
}

// MarshalZerologObject implements zerolog.LogObjectMarshaler.
func (u ConnUse) MarshalZerologObject(e *zerolog.Event) {
	e.Int("connRequests", u.Earlier).Bool("connRepeated", u.Repeated).Int("skipped", u.Skipped)
}
