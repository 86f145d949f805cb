package soaker

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
)

// TestReturnWithoutResponse guards against a call that counts as refused, since its caller returned after a refusal and got no
// response then.
func TestReturnWithoutResponse(t *testing.T) {
	is := is.New(t)
	var requests atomic.Int32
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if requests.Add(1) > 1 {
			panic(http.ErrAbortHandler)
		}
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer s.Close()
	r := &Run{cluster: &cluster{hosts: []*host{{callersAddress: strings.TrimPrefix(s.URL, "http://")}}}}
	c := call{id: "1", path: "/book/", key: keyName(0)}
	client := &http.Client{Timeout: callTimeout}
	r.send(client, &c)
	is.Equal(c.status, http.StatusServiceUnavailable)
	r.send(client, &c)
	is.Equal(c.status, 0)
	is.True(c.err != nil)
}
