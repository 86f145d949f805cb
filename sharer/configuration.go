package sharer

import "encoding/json"

// newerConfiguration returns the configuration in force as JSON if its version is above the given
// one, else nil, and its size when compressed.
func (s *Sharer) newerConfiguration(version int64) (b []byte, compressed int) {
	cfg := s.Follower.Configuration()
	if cfg == nil || cfg.Version <= version {
		return nil, 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.encoded.version != cfg.Version {
		b, err := json.Marshal(cfg)
		if err != nil {
			s.Log.Error().Err(err).Msg("sharer: encoding the configuration failed")
			return nil, 0
		}
		s.encoded = encodedConfiguration{cfg.Version, b, len(compress(b))}
	}
	return s.encoded.json, s.encoded.compressed
}

// encodedConfiguration is a configuration as JSON. Relays send the same one to many hosts.
type encodedConfiguration struct {
	version int64
	json    []byte
	// compressed is the size of json when compressed.
	compressed int
}
