package deduplicator

import (
	"encoding/json"
	"fmt"
)

//go:generate enumer -type State -trimprefix State -transform title-lower -json -output state_gen.go

// State is how far a call has come.
type State int

// The states of a record.
const (
	// StateClaimed: a host may dispatch it, has, or had.
	StateClaimed State = iota
	// StateAbandoned: its host gave it up before any byte was sent.
	StateAbandoned
	// StateDone: it ran and its outcome is known.
	StateDone
	// StateUnknown: it was sent, and what became of it is not known.
	StateUnknown
)

// Outcome is the answer of a call, kept for repeats.
type Outcome struct {
	Status      int    `json:"status"`
	ContentType string `json:"contentType,omitempty"`
	Body        []byte `json:"body,omitempty"`
	// Apart is set when the body is under a key of its own.
	Apart bool `json:"apart,omitempty"`
}

// Record is one call that is not idempotent.
type Record struct {
	// Key is a hash of workspace, service, call and idempotency key.
	Key string `json:"key"`
	// Digest is a hash of the request, so that a key used for another request
	// is noticed.
	Digest string `json:"digest"`
	// Nonce is new for every try to claim.
	Nonce string `json:"nonce"`
	// Host and Incarnation are who claimed it.
	Host        string `json:"host"`
	Incarnation int64  `json:"incarnation"`
	// Address is where that host can be asked by one that has not heard of it;
	// empty in records of earlier versions.
	Address string `json:"address,omitempty"`
	State   State  `json:"state"`
	// Outcome is set when State is StateDone.
	Outcome *Outcome `json:"outcome,omitempty"`
}

// document is one generation of a bucket, the value of one key in the platform.
type document struct {
	// Sealed generations take no new record, for ever; updates of the records
	// they hold go on.
	Sealed bool `json:"sealed,omitempty"`
	// SealedAt is in Unix milliseconds by the sealer's clock.
	SealedAt int64 `json:"sealedAt,omitempty"`
	// StartedAt is when the first record came.
	StartedAt int64              `json:"startedAt,omitempty"`
	Records   map[string]*Record `json:"records"`
}

// pointer says where a bucket's generations begin and end.
type pointer struct {
	Oldest  int `json:"oldest"`
	Current int `json:"current"`
}

func decode[T any](value []byte, into *T) error {
	if err := json.Unmarshal(value, into); err != nil {
		return fmt.Errorf("decoding idempotency records: %w", err)
	}
	return nil
}

func encode(v any) []byte {
	out, err := json.Marshal(v)
	if err != nil {
		panic("deduplicator: encoding plain structs failed: " + err.Error())
	}
	return out
}

func (d *document) clone() *document {
	out := *d
	out.Records = make(map[string]*Record, len(d.Records))
	for k, r := range d.Records {
		c := *r
		out.Records[k] = &c
	}
	return &out
}
