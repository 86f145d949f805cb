package server_test

import (
	"testing"

	"github.com/sardineward/sardineward/server"
)

// FuzzDecode checks that every request body that is accepted is within bounds.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"model":"m","prompt":"p","max_tokens":3}`))
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":"p"}]}`))
	f.Add([]byte(`{"model":"m","prompt":"p","max_tokens":-1}`))
	f.Add([]byte(`[]`))
	f.Add([]byte(`{"messages":[{}]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		for _, decode := range []func([]byte) (*server.Completion, error){server.DecodeCompletion, server.DecodeChat} {
			c, err := decode(body)
			if err == nil && (c.Prompt == "" || c.Model == "" || c.MaxTokens < 1) {
				t.Errorf("accepted %q as %+v", body, c)
			}
		}
	})
}
