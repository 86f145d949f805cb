package launcher_test

import (
	"cmp"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/sardineward/sardineward/faker"
)

// TestUndelimitedAnswer guards against taking a response that ends with its connection for a broken one, a
// stream that ends so inside an event for a whole one, and against using the connection again.
func TestUndelimitedAnswer(t *testing.T) {
	for _, proto := range []string{"HTTP/1.0", ""} {
		t.Run(cmp.Or(proto, "HTTP/1.1"), func(t *testing.T) {
			runHost(t, 0, func(b *testbed) {
				is := is.New(t)
				for _, s := range b.stages {
					s.Proto = proto
				}
				send := func(path, id string, f faker.StageFault) reply {
					b.injectFaults("desk", f)
					b.injectFaults("model", f)
					defer b.injectFaults("desk")
					defer b.injectFaults("model")
					return b.request(http.MethodPost, path, id, nil)
				}
				for _, path := range []string{"/look/1", "/book/1"} {
					r := send(path, "whole"+path, faker.StageFaultUndelimited)
					is.NoErr(r.err)
					is.Equal(r.status, http.StatusOK)
					is.Equal(b.runs("whole"+path), 1)
				}
				for _, path := range []string{"/stream/1", "/stream/once/1"} {
					b.assertCompleteStream(send(path, "whole"+path, faker.StageFaultUndelimited))
					is.Equal(b.runs("whole"+path), 1)
				}
				b.injectFaults("model", faker.StageFaultUndelimitedBroken)
				b.assertCompleteStream(b.request(http.MethodPost, "/stream/1", "resumed", nil))
				is.True(b.runs("resumed") > 1)
				r := send("/stream/once/1", "broken", faker.StageFaultUndelimitedBroken)
				is.True(r.err != nil) // the caller does not take it for whole
				is.Equal(r.body, events(1, 2))
				is.Equal(b.runs("broken"), 1)
				b.assertCompleteStream(b.request(http.MethodPost, "/stream/1", "next", nil))
			})
		})
	}
}
