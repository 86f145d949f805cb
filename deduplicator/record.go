package deduplicator

import (
	"encoding/json"
	"fmt"
)

//go:generate enumer -type State -trimprefix State -transform title-lower -json -output state_gen.go

// State is the progress of a call.
type State int

// The states of a record.
const (
	// StateClaimed means that a host may dispatch the call, or has dispatched it and recorded no
	// outcome yet.
	StateClaimed State = iota
	// StateAbandoned means that the host that claimed the call gave it up before it sent any byte.
	StateAbandoned
	// StateDone means that the call ran and its outcome is recorded.
	StateDone
	// StateUnknown means that the call was sent, and its outcome is unknown.
	StateUnknown
)

// Outcome is the answer to a call, stored to answer repeats.
type Outcome struct {
	Status      int    `json:"status"`
	ContentType string `json:"contentType,omitempty"`
	Body        []byte `json:"body,omitempty"`
	// StoredSeparately is set when Body is too large for the record and is stored under its own key.
	StoredSeparately bool `json:"apart,omitempty"`
}

// Record is the stored state of one call that is not idempotent.
type Record struct {
	// Key is a hash of workspace, service, method, declared path and idempotency key.
	Key string `json:"key"`
	// Digest is a hash of the request. It detects a key that is reused for another request.
	Digest string `json:"digest"`
	// Nonce is unique to each attempt to claim the call.
	Nonce string `json:"nonce"`
	// Host and Incarnation identify the process that claimed the call.
	Host        string `json:"host"`
	Incarnation int64  `json:"incarnation"`
	// Address is where a host that does not know Host yet can query it. It is empty in records
	// written by earlier versions.
	Address string `json:"address,omitempty"`
	State   State  `json:"state"`
	// Outcome is set when State is StateDone.
	Outcome *Outcome `json:"outcome,omitempty"`
}

// storedGeneration is one generation of a bucket, stored as the value of one key in the platform.
type storedGeneration struct {
	// Sealed is set once the generation takes no new records. It is never cleared; records that the
	// generation holds can still be updated.
	Sealed bool `json:"sealed,omitempty"`
	// SealedAt is when it was sealed, in Unix milliseconds by the clock of the host that sealed it.
	SealedAt int64 `json:"sealedAt,omitempty"`
	// StartedAt is when its first record was written, in Unix milliseconds by the writing host's
	// clock; 0 before.
	StartedAt int64              `json:"startedAt,omitempty"`
	Records   map[string]*Record `json:"records"`
}

// pointer holds the number of a bucket's oldest generation, and the lowest number of a generation
// that may take new records.
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

func (d *storedGeneration) clone() *storedGeneration {
	out := *d
	out.Records = make(map[string]*Record, len(d.Records))
	for k, r := range d.Records {
		c := *r
		out.Records[k] = &c
	}
	return &out
}
