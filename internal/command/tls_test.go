package command

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"github.com/poplarlever/poplarlever/internal/httpserver"
	"github.com/poplarlever/poplarlever/internal/settings"
	"github.com/poplarlever/poplarlever/internal/tlsconfig"
)

// writeCertificate writes a self-signed certificate for loopback and its key.
func writeCertificate(c *qt.C) settings.TLS {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	c.Assert(err, qt.IsNil)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, KeyUsage: x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	c.Assert(err, qt.IsNil)
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	c.Assert(err, qt.IsNil)
	dir := c.TempDir()
	write := func(name, kind string, content []byte) string {
		path := filepath.Join(dir, name)
		c.Assert(os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: content}), 0o600), qt.IsNil)
		return path
	}
	certificate := write("certificate.pem", "CERTIFICATE", der)
	return settings.TLS{Mode: settings.TLSOn, Certificate: certificate, Key: write("key.pem", "PRIVATE KEY", keyDER), CA: certificate}
}

// Guards against a TLS mode that is accepted but not used, and against answers to
// clients that do not use TLS.
func TestLinkOverTLS(t *testing.T) {
	c := qt.New(t)
	files := writeCertificate(c)
	s := devEntrySettings("entry-1", "")
	s.TLS = files
	d, err := buildEntry(s, zap.NewNop())
	c.Assert(err, qt.IsNil)
	a := devAgentSettings("worker-1", []string{d.Address()})
	a.TLS = files
	worker, err := buildAgent(a, zap.NewNop())
	c.Assert(err, qt.IsNil)
	daemons := newComponentGroup(c.Context())
	defer daemons.stop()
	daemons.run(func(ctx context.Context) error { return d.Run(ctx, devStopLimit) })
	daemons.run(func(ctx context.Context) error { return worker.Run(ctx, devStopLimit) })

	loaded, err := tlsconfig.Load(files, settings.Source{})
	c.Assert(err, qt.IsNil)
	client := httpserver.NewTLSClient(loaded.Client)
	defer client.CloseIdleConnections()
	url := loaded.Scheme() + "://" + d.Address() + "/metrics"
	for {
		page := fetch(c, client, url)
		if strings.Contains(page, "poplarlever_links 1\n") {
			break
		}
		time.Sleep(readyPollInterval)
	}
	code, stdout, _ := run(c, "status", "--ca", files.CA, "--entry", d.Address())
	c.Check(code, qt.Equals, ExitDone)
	c.Check(stdout, qt.Contains, "worker-1 ")
	code, _, _ = run(c, "status", "--entry", d.Address())
	c.Check(code, qt.Equals, ExitFailed)
	job := filepath.Join(c.TempDir(), "job.json")
	c.Assert(os.WriteFile(job, []byte(`{"service":"none","jobType":"none","account":"atlas","tasks":[{}]}`), 0o600), qt.IsNil)
	code, stdout, _ = run(c, "submit", "--ca", files.CA, "--entry", d.Address(), job)
	c.Check(code, qt.Equals, ExitRefused)
	c.Check(stdout, qt.Contains, "unknown_service")
	_, err = httpserver.NewClient().Get("http://" + d.Address() + "/metrics")
	c.Check(err, qt.IsNotNil)
}

// Guards against calls between entries without TLS when it is on. The second entry
// has no store, so it can obtain the table only from its peer.
func TestEntriesExchangeOverTLS(t *testing.T) {
	c := qt.New(t)
	files := writeCertificate(c)
	parts := &fleet{platform: newComponentGroup(c.Context()), entries: newComponentGroup(c.Context()), agents: newComponentGroup(c.Context()), endpoints: newComponentGroup(c.Context())}
	defer parts.stop()
	c.Assert(parts.startStore(c.Context()), qt.IsNil)
	first := devEntrySettings("entry-1", parts.store)
	first.TLS = files
	storeEntry, err := buildEntry(first, zap.NewNop())
	c.Assert(err, qt.IsNil)
	second := devEntrySettings("entry-2", "")
	second.TLS, second.Peers = files, []string{storeEntry.Address()}
	peerEntry, err := buildEntry(second, zap.NewNop())
	c.Assert(err, qt.IsNil)
	parts.entries.run(func(ctx context.Context) error { return storeEntry.Run(ctx, devStopLimit) })
	parts.entries.run(func(ctx context.Context) error { return peerEntry.Run(ctx, devStopLimit) })

	loaded, err := tlsconfig.Load(files, settings.Source{})
	c.Assert(err, qt.IsNil)
	client := httpserver.NewTLSClient(loaded.Client)
	defer client.CloseIdleConnections()
	for !strings.Contains(fetch(c, client, "https://"+peerEntry.Address()+"/metrics"), "poplarlever_table_revision 1\n") {
		time.Sleep(readyPollInterval)
	}
}
