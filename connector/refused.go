package connector

import (
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"
)

// maxRefused is how many requests may be refused over one connection until it is closed.
const maxRefused = 32

// refusedIDs holds the requests that were refused over a connection, by the hash of their id. An upstream may write a
// refusal again at any time, and if the same request is under way on the connection, its id does not tell. The zero value
// is empty.
type refusedIDs struct{ hashes []uint64 }

func (r *refusedIDs) add(id string) {
	if id != "" {
		r.hashes = append(r.hashes, xxhash.Sum64String(id))
	}
}

func (r *refusedIDs) contains(id string) bool {
	return id != "" && len(r.hashes) > 0 && slices.Contains(r.hashes, xxhash.Sum64String(id))
}

func (r *refusedIDs) isFull() bool { return len(r.hashes) >= maxRefused }

// ConnUse describes the connection that carried a request.
type ConnUse struct {
	// Earlier is the number of requests that it carried before; 0 for a new connection.
	Earlier int
	// Skipped is the number of responses to other requests that came before the one to this request.
	Skipped int
}

// MarshalZerologObject implements zerolog.LogObjectMarshaler.
func (u ConnUse) MarshalZerologObject(e *zerolog.Event) {
	e.Int("connRequests", u.Earlier).Int("skipped", u.Skipped)
}
