package soaker

import (
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/sardineward/sardineward/faker"
	"github.com/sardineward/sardineward/matcher"
	"github.com/sardineward/sardineward/platform"
)

const (
	// firstOnceSeed is the first seed of runs with streams that must not run twice.
	firstOnceSeed = 40000
	// oncePrefix is the path of their route. No other stream's path begins with it.
	oncePrefix = "/stream/once/"
	// onceFaultOdds is one in how many of their runs has a fault.
	onceFaultOdds = 3
	// firstCopySeed is the first seed of runs whose upstreams write rejections twice, one in copyOdds requests, and whose
	// callers send a refused request again with its id, maxReturns times, returnPause after each refusal.
	firstCopySeed = 50000
	copyOdds      = 8
	maxReturns    = 3
	returnPause   = 20 * time.Millisecond
)

// onceFaults are the faults of a run. Each ends it before its first event, so that its host still has a status to send.
var onceFaults = []faker.StageFault{
	faker.StageFaultNoWholeEvent, faker.StageFaultNoEvent, faker.StageFaultReset, faker.StageFaultUnsigned, faker.StageFaultOverloaded, faker.StageFaultStatus500,
}

// hasOnce reports whether the run of a seed has streams that must not run twice.
func hasOnce(seed uint64) bool { return seed >= firstOnceSeed }

// onceRoute returns their route.
func onceRoute() matcher.Route {
	r := route(oncePrefix, "model", matcher.KindStreaming)
	r.Resumable = false
	return r
}

// onceFault draws the fault of a run at an upstream. A part that crashes upstreams crashes each of them: a failure in its
// place would be an answer that clears the part.
func onceFault(r *http.Request) faker.StageFault {
	crashes := strings.Contains(r.Header.Get(platform.Headers.Parts), faker.CrashingPart)
	if crashes || !strings.HasPrefix(r.URL.Path, oncePrefix) || rand.IntN(onceFaultOdds) > 0 {
		return faker.StageFaultNone
	}
	return onceFaults[rand.IntN(len(onceFaults))]
}

// hasCopies reports whether upstreams write rejections twice in the run of a seed.
func hasCopies(seed uint64) bool { return seed >= firstCopySeed }

// copyFault is onceFault for such a run.
func copyFault(r *http.Request) faker.StageFault {
	if rankOf(r.URL.Path) < 0 && rand.IntN(copyOdds) == 0 {
		return faker.StageFaultCopiedRejection
	}
	return onceFault(r)
}

// mustRunOnce reports whether requests to a path must not run twice.
func mustRunOnce(path string) bool {
	return strings.HasPrefix(path, "/book/") || strings.HasPrefix(path, oncePrefix) || rankOf(path) >= 0
}
