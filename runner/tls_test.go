package runner_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/sardineward/sardineward/loader"
	"github.com/sardineward/sardineward/peer"
	"github.com/sardineward/sardineward/runner"
)

// authority signs certificates and writes them to a directory.
type authority struct {
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// sign writes NAME.crt and NAME.key. The first call creates the authority's own certificate.
func (a *authority) sign(t *testing.T, name string) (certificate, key string) {
	t.Helper()
	is := is.New(t)
	own, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	tmpl := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(24 * time.Hour),
		IPAddresses: []net.IP{net.IPv4(10, 0, 0, 1), net.IPv4(10, 0, 0, 2), net.IPv4(10, 0, 0, 3), net.IPv4(10, 0, 0, 4)},
		KeyUsage:    x509.KeyUsageDigitalSignature, ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	if a.cert == nil {
		tmpl.IsCA, tmpl.BasicConstraintsValid, tmpl.KeyUsage = true, true, x509.KeyUsageCertSign
		a.cert, a.key = tmpl, own
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, a.cert, &own.PublicKey, a.key)
	is.NoErr(err)
	private, err := x509.MarshalECPrivateKey(own)
	is.NoErr(err)
	certificate, key = filepath.Join(a.dir, name+".crt"), filepath.Join(a.dir, name+".key")
	is.NoErr(os.WriteFile(certificate, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), 0o600))
	is.NoErr(os.WriteFile(key, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: private}), 0o600))
	return certificate, key
}

// TestTLS runs hosts with certificates, and checks that a peer call without a certificate or with
// one signed by another authority fails.
func TestTLS(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ownAuthority, foreignAuthority := &authority{dir: t.TempDir()}, &authority{dir: t.TempDir()}
		root, _ := ownAuthority.sign(t, "authority")
		certificate, private := ownAuthority.sign(t, "host")
		b := newCluster(t, 60, configuration())
		defer b.close()
		b.tls = &loader.TLS{CallerCertificate: certificate, CallerKey: private, PeerCertificate: certificate, PeerKey: private, PeerAuthority: root}
		for i := range 4 {
			b.start(i)
		}
		b.submit(0, configuration())
		b.awaitRevision(8*time.Second, 1)
		b.await(10*time.Second, func() bool { return len(b.hosts[0].Status(context.Background()).Hosts) == 4 })

		_, _ = foreignAuthority.sign(t, "authority")
		foreign, foreignKey := foreignAuthority.sign(t, "stranger")
		pair, err := tls.LoadX509KeyPair(foreign, foreignKey)
		is.NoErr(err)
		for name, cfg := range map[string]*tls.Config{
			"no certificate":      {InsecureSkipVerify: true},
			"another authority's": {InsecureSkipVerify: true, Certificates: []tls.Certificate{pair}},
		} {
			transport := &http.Transport{DialContext: b.net.Dialer("stranger"), TLSClientConfig: cfg}
			client := peer.NewPeerProtobufClient("https://10.0.0.1:81", &http.Client{Transport: transport})
			if _, err := client.Status(context.Background(), &peer.StatusRequest{}); err == nil {
				t.Errorf("a peer call with %s succeeded", name)
			}
			transport.CloseIdleConnections()
		}
		transport := &http.Transport{DialContext: b.net.Dialer("caller"), TLSClientConfig: &tls.Config{InsecureSkipVerify: true}, DisableKeepAlives: true}
		resp, err := (&http.Client{Transport: transport}).Get("https://10.0.0.1:80/v1/completions")
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusNotFound)
		resp.Body.Close()
	})
}

// TestTLSFiles checks that a missing certificate file is reported at start.
func TestTLSFiles(t *testing.T) {
	b := &cluster{t: t, tls: &loader.TLS{PeerCertificate: "nowhere.crt", PeerKey: "nowhere.key"}}
	h := &runner.Host{Settings: b.settings(0)}
	is.New(t).True(errors.Is(h.Build(), os.ErrNotExist))
}
