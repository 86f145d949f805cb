package runner

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
)

// serverTLS loads a certificate and its key. An empty certificate name returns nil, which means
// plain connections.
func serverTLS(certificate, key string) (*tls.Config, error) {
	if certificate == "" {
		return nil, nil
	}
	pair, err := tls.LoadX509KeyPair(certificate, key)
	if err != nil {
		return nil, fmt.Errorf("loading certificate: %w", err)
	}
	return &tls.Config{Certificates: []tls.Certificate{pair}, MinVersion: tls.VersionTLS12}, nil
}

// loadPeerTLS sets up mutual TLS between hosts: both sides must present a certificate signed by
// the configured authority.
func (h *Host) loadPeerTLS() error {
	t := h.Settings.TLS
	cfg, err := serverTLS(t.PeerCertificate, t.PeerKey)
	if err != nil || cfg == nil {
		return err
	}
	authority, err := os.ReadFile(t.PeerAuthority)
	if err != nil {
		return fmt.Errorf("reading authority: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return errors.New("reading authority: no certificate in " + t.PeerAuthority)
	}
	cfg.ClientCAs, cfg.RootCAs = pool, pool
	cfg.ClientAuth = tls.RequireAndVerifyClientCert
	h.peerTLS = cfg
	return nil
}
