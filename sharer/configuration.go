package sharer

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sardineward/sardineward/matcher"
	"github.com/sardineward/sardineward/peer"
)

//go:generate enumer -type ConfigurationKind -trimprefix Configuration -transform lower -output configurationkind_gen.go

// ConfigurationKind is the form in which a configuration is sent to a peer.
type ConfigurationKind int

// The kinds of configurations.
const (
	// ConfigurationWhole is a whole configuration.
	ConfigurationWhole ConfigurationKind = iota
	// ConfigurationChanges is a change from one version to another.
	ConfigurationChanges
)

const (
	// maxConfigurationBytes bounds the compressed configurations and changes that are sent to all
	// hosts at once. A relay sends one to fifty hosts in half a second over a link of 14 Mbit/s.
	maxConfigurationBytes = 16 << 10
	// maxChangeBytes bounds the compressed changes that are sent to hosts in turn. One takes a fifth of
	// exchangeTimeout over such a link.
	maxChangeBytes = 96 << 10
	// sendRate, in bytes per second, and sendBurst, in bytes, bound the larger configurations and
	// changes that a host sends, to leave the rest of such a link to streams.
	sendRate  = 900e3
	sendBurst = 64 << 10
	// maxHold bounds how long an answer is held back until the budget allows it: well below
	// exchangeTimeout. A host that gets nothing asks again only a round later.
	maxHold = 120 * time.Millisecond
	// maxFollowTime bounds how long a host may be asked to wait for a change.
	maxFollowTime = time.Second
	// maxDecodedBytes bounds a decompressed configuration or change.
	maxDecodedBytes = 64 << 20
)

// configurations holds one configuration and the changes to it, each compressed once for all peers, and bounds
// the rate at which they are sent. The zero value is ready to use.
type configurations struct {
	mu      sync.Mutex
	version int64
	sum     uint64
	// json is the configuration as JSON, whole the same compressed; nil until needed.
	json, whole []byte
	// changes holds the compressed changes to the configuration by the one that they start from. An entry
	// is nil if that one is not known or the change is too large to send.
	changes map[changeBase][]byte
	// waiting holds the hosts that were asked to wait for a change.
	waiting map[string]bool
	// budget is how many bytes may be sent at the time at; it is negative after a large answer.
	budget float64
	at     time.Duration
	// sent and received count bytes by kind.
	sent, received [2]atomic.Int64
	// decodeTime sums the time, in nanoseconds, that decoding and putting in force took, by kind.
	decodeTime [2]atomic.Int64
}

// changeBase identifies the configuration from which a change leads.
type changeBase struct {
	version int64
	sum     uint64
}

// ConfigurationBytesSent returns how many bytes of configurations this host has sent to its peers.
func (s *Sharer) ConfigurationBytesSent(k ConfigurationKind) int64 {
	return s.configurations.sent[k].Load()
}

// ConfigurationBytesReceived returns how many bytes of configurations this host has received from its peers.
func (s *Sharer) ConfigurationBytesReceived(k ConfigurationKind) int64 {
	return s.configurations.received[k].Load()
}

// ConfigurationDecodeTime returns how long this host has spent on decoding configurations of its peers and
// putting them in force.
func (s *Sharer) ConfigurationDecodeTime(k ConfigurationKind) time.Duration {
	return time.Duration(s.configurations.decodeTime[k].Load())
}

// addDecodeTime counts the time since began.
func (s *Sharer) addDecodeTime(k ConfigurationKind, began time.Time) {
	s.configurations.decodeTime[k].Add(int64(time.Since(began)))
}

// addConfiguration adds the configuration in force to the answer if the calling host has an older one, and
// returns how long the answer must be held back; 0 means not at all. A host that can read the source is sent
// only a short configuration or a change, in its turn. Otherwise each new configuration would saturate the
// links of the relays.
func (s *Sharer) addConfiguration(resp *peer.ShareResponse, req *peer.ShareRequest) (hold time.Duration) {
	cfg := s.Follower.Configuration()
	version, sum := s.Follower.ConfigurationDigest()
	if cfg == nil || cfg.Version != version || version <= req.Version {
		return 0
	}
	c := &s.configurations
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.version != version || c.sum != sum {
		c.version, c.sum, c.json, c.whole = version, sum, nil, nil
		c.changes, c.waiting = make(map[changeBase][]byte), make(map[string]bool)
	}
	if req.ConfigurationDigest != 0 {
		if b := s.changeFrom(changeBase{req.Version, req.ConfigurationDigest}); b != nil {
			return s.addChange(resp, req, b)
		}
	}
	if err := c.encode(cfg); err != nil {
		s.Log.Error().Err(err).Msg("sharer: encoding the configuration failed")
		return 0
	}
	if len(c.whole) > maxConfigurationBytes && !req.Behind {
		return 0
	}
	if req.ConfigurationDigest == 0 {
		resp.Configuration = c.json
	} else {
		var ok bool
		if hold, ok = c.reserve(s.Now(), len(c.whole)); !ok {
			return 0
		}
		resp.CompressedConfiguration = c.whole
	}
	c.sent[ConfigurationWhole].Add(int64(len(c.whole)))
	return hold
}

// addChange adds a compressed change to the answer to a host, or announces it if others come first, and
// returns how long the answer must be held back. s.configurations.mu is held.
func (s *Sharer) addChange(resp *peer.ShareResponse, req *peer.ShareRequest, b []byte) (hold time.Duration) {
	c := &s.configurations
	if len(b) > maxConfigurationBytes && !req.Behind && req.GetReport().GetScope() != peer.Scope_SCOPE_HOST {
		// A relay of another data centre gets it from the reader there.
		resp.ConfigurationFollows = true
		return 0
	}
	hold, ok := c.reserve(s.Now(), len(b))
	if !ok {
		resp.ConfigurationFollows = c.promise(req.Host, len(b))
		return 0
	}
	delete(c.waiting, req.Host)
	resp.ConfigurationChange = b
	c.sent[ConfigurationChanges].Add(int64(len(b)))
	return hold
}

// changeFrom returns the compressed change that leads to the configuration in force; nil if the former
// one is not known or the change is too large to send. s.configurations.mu is held.
func (s *Sharer) changeFrom(from changeBase) []byte {
	c := &s.configurations
	if b, ok := c.changes[from]; ok {
		return b
	}
	var b []byte
	if change := s.Follower.ConfigurationChange(from.version, from.sum); change != nil && change.To == c.version && change.ToSum == c.sum {
		text, err := json.Marshal(change)
		if err != nil {
			s.Log.Error().Err(err).Msg("sharer: encoding a change of the configuration failed")
			return nil
		}
		if b = compress(text, gzip.DefaultCompression); len(b) > maxChangeBytes {
			b = nil
		}
	}
	c.changes[from] = b
	return b
}

// encode encodes and compresses a configuration unless that is done. c.mu is held.
func (c *configurations) encode(cfg *matcher.Configuration) error {
	if c.json != nil {
		return nil
	}
	b, err := json.Marshal(cfg)
	if err != nil {
		return err
	}
	c.json, c.whole = b, compress(b, gzip.DefaultCompression)
	return nil
}

// reserve counts n bytes as sent and returns how long the answer with them must be held back. ok is false, and
// nothing is counted, if that exceeds maxHold. Short answers are never held back. c.mu is held.
func (c *configurations) reserve(now time.Duration, n int) (hold time.Duration, ok bool) {
	c.budget = min(sendBurst, c.budget+(now-c.at).Seconds()*sendRate)
	c.at = now
	if n > maxConfigurationBytes {
		if hold = max(0, time.Duration(-c.budget/sendRate*float64(time.Second))); hold > maxHold {
			return 0, false
		}
	}
	c.budget -= float64(n)
	return hold, true
}

// promise reports whether a host may be asked to wait for a change of n bytes, because its turn comes within
// maxFollowTime. The relays of its data centre share the hosts that wait. c.mu is held.
func (c *configurations) promise(host string, n int) bool {
	if c.waiting[host] {
		return true
	}
	if (float64(len(c.waiting)*n/relaysPerDataCentre)-c.budget)/sendRate > maxFollowTime.Seconds() {
		return false
	}
	c.waiting[host] = true
	return true
}

// applyConfiguration applies the configuration or the change that a peer sent. An invalid change is not an
// error: this host still learns that the peer has a newer configuration, and reads the source.
func (s *Sharer) applyConfiguration(sent time.Duration, host string, resp *peer.ShareResponse) error {
	received := &s.configurations.received
	received[ConfigurationChanges].Add(int64(len(resp.ConfigurationChange)))
	received[ConfigurationWhole].Add(int64(len(resp.Configuration) + len(resp.CompressedConfiguration)))
	if err := s.applyChange(resp.ConfigurationChange); err != nil {
		s.Log.Warn().Err(err).Str("peer", host).Msg("sharer: invalid change of the configuration from peer")
	}
	text := resp.Configuration
	if len(text)+len(resp.CompressedConfiguration) > 0 {
		defer s.addDecodeTime(ConfigurationWhole, time.Now())
	}
	if len(resp.CompressedConfiguration) > 0 {
		var err error
		if text, err = decompress(resp.CompressedConfiguration); err != nil {
			return err
		}
	}
	cfg, err := decode[matcher.Configuration](text)
	if err != nil {
		return err
	}
	s.Follower.ApplyPeerConfiguration(sent, millis(resp.AgeMs), resp.Version, cfg)
	return nil
}

// applyChange applies a compressed change of the configuration; there is none if b is empty.
func (s *Sharer) applyChange(b []byte) error {
	if len(b) == 0 {
		return nil
	}
	defer s.addDecodeTime(ConfigurationChanges, time.Now())
	text, err := decompress(b)
	if err != nil {
		return err
	}
	change, err := decode[matcher.Change](text)
	if err != nil || change == nil {
		return err
	}
	if err := change.Check(); err != nil {
		return err
	}
	return s.Follower.ApplyPeerChange(change)
}

// decompress returns what b holds in the gzip format.
func decompress(b []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(b))
	if err != nil {
		return nil, err
	}
	return io.ReadAll(io.LimitReader(r, maxDecodedBytes))
}
