package delegator

// minFailedDials is the number of failed dials after which a request is delegated before its host has found that it is
// cut off.
const minFailedDials = 2

// Signs is what a host knows as it decides whether another one is to serve a request.
type Signs struct {
	// Delegated is set where another host delegated the request to this one.
	Delegated bool
	// Lost is set while no upstream accepts connections from this host, Suspicious while several in a row have not.
	Lost, Suspicious bool
	// FailedDials counts the dials that failed for the request. FoundNoUpstream is set once it found no upstream,
	// Refused once no other host took it.
	FailedDials              int
	FoundNoUpstream, Refused bool
	// Unserved is set where hosts lately refused all requests of the service.
	Unserved bool
	// OthersReach is set where reports say that another host reaches the service, OwnReach where this host has
	// found enough of its upstreams not to be dead.
	OthersReach, OwnReach bool
}

// ShouldDelegate reports whether another host is to serve the request.
func (s *Signs) ShouldDelegate() bool {
	switch {
	case s.Delegated || s.Refused || !s.OthersReach:
		return false
	case s.Lost:
		return true
	case s.FoundNoUpstream && !s.OwnReach:
		return s.Suspicious || !s.Unserved
	default:
		return s.Suspicious && (s.FoundNoUpstream || s.FailedDials >= minFailedDials)
	}
}
