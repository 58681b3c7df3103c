package transport_test

import (
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"
	"google.golang.org/grpc/health"
	"google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/grpc/test/bufconn"

	"godwityoke.example/godwityoke/internal/observe"
	"godwityoke.example/godwityoke/internal/transport"
)

const address = "127.0.0.1:1"

// authority is a certificate authority.
type authority struct {
	t           *testing.T
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

func newAuthority(t *testing.T, name string) *authority {
	a := &authority{t: t}
	template := &x509.Certificate{IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign}
	template.Subject.CommonName = name
	_, a.key, a.certificate = a.issue(template, nil)
	return a
}

func (a *authority) issue(template *x509.Certificate, parent *authority) ([]byte, *ecdsa.PrivateKey, *x509.Certificate) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(a.t, err)
	template.SerialNumber = big.NewInt(time.Now().UnixNano())
	template.NotBefore, template.NotAfter = time.Now().Add(-time.Hour), time.Now().Add(time.Hour)
	signer, signerKey := template, key
	if parent != nil {
		signer, signerKey = parent.certificate, parent.key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, signer, key.Public(), signerKey)
	require.NoError(a.t, err)
	parsed, err := x509.ParseCertificate(der)
	require.NoError(a.t, err)
	return der, key, parsed
}

// write issues a certificate for a VM and writes three files to folder: the certificate, its key, and the certificate of
// trusted, the authority that the VM shall trust.
func (a *authority) write(folder string, trusted *authority) transport.CertificateFiles {
	template := &x509.Certificate{IPAddresses: []net.IP{net.ParseIP("127.0.0.1")}}
	der, key, _ := a.issue(template, a)
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	require.NoError(a.t, err)
	files := transport.CertificateFiles{
		Certificate: filepath.Join(folder, "vm.crt"), Key: filepath.Join(folder, "vm.key"), CA: filepath.Join(folder, "ca.crt"),
	}
	a.writePEM(files.Certificate, "CERTIFICATE", der)
	a.writePEM(files.Key, "PRIVATE KEY", keyDER)
	a.writePEM(files.CA, "CERTIFICATE", trusted.certificate.Raw)
	return files
}

func (a *authority) writePEM(file, kind string, der []byte) {
	require.NoError(a.t, os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
	stamp := time.Now()
	require.NoError(a.t, os.Chtimes(file, stamp, stamp))
}

// server is the gRPC server of a VM, which writes its log to memory.
type server struct {
	listener *bufconn.Listener
	// lastConn is the connection that a client dialed last.
	lastConn net.Conn
	mu       sync.Mutex
	log      bytes.Buffer
}

// Write implements io.Writer for the log.
func (s *server) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.log.Write(line)
}

func (s *server) hasLogged(event observe.Event) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return bytes.Contains(s.log.Bytes(), []byte(`"event":`+strconv.Itoa(event.Number)))
}

func startServer(t *testing.T, certificates *transport.Certificates) *server {
	s := &server{listener: bufconn.Listen(1 << 16)}
	grpcServer := transport.NewServer(transport.ServerOptions{
		Identity: transport.Identity{Cluster: "tidewake", VM: "control-a"}, Certificates: certificates, Log: zerolog.New(s),
	})
	grpc_health_v1.RegisterHealthServer(grpcServer, health.NewServer())
	var group sync.WaitGroup
	group.Go(func() { _ = grpcServer.Serve(s.listener) })
	t.Cleanup(func() { grpcServer.Stop(); group.Wait() })
	return s
}

func (s *server) pool(t *testing.T, cluster string, certificates *transport.Certificates) *transport.Pool {
	pool := transport.NewPool(transport.PoolOptions{
		Identity:     transport.Identity{Cluster: cluster, VM: "entry-a1"},
		Certificates: certificates,
		Dial: func(ctx context.Context, _ string) (conn net.Conn, err error) {
			conn, err = s.listener.DialContext(ctx)
			s.lastConn = conn
			return conn, err
		},
	})
	t.Cleanup(pool.Close)
	return pool
}

func call(t *testing.T, pool *transport.Pool) (*grpc.ClientConn, error) {
	conn, err := pool.Conn(address)
	require.NoError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	_, err = grpc_health_v1.NewHealthClient(conn).Check(ctx, &grpc_health_v1.HealthCheckRequest{})
	return conn, err
}

func load(t *testing.T, files transport.CertificateFiles) *transport.Certificates {
	certificates, err := transport.LoadCertificates(files)
	require.NoError(t, err)
	return certificates
}

// TestServerRefusesOtherClustersAndAuthorities guards against a server that accepts a peer of another cluster, without
// TLS or with a certificate that it doesn't trust, and against a refusal that isn't logged.
func TestServerRefusesOtherClustersAndAuthorities(t *testing.T) {
	cases := map[string]struct {
		cluster string
		// client returns the client's certificates, nil for plaintext.
		client func(t *testing.T, good, bad *authority) *transport.Certificates
		event  *observe.Event
	}{
		"right certificate and cluster": {"tidewake", func(t *testing.T, good, _ *authority) *transport.Certificates {
			return load(t, good.write(t.TempDir(), good))
		}, nil},
		"wrong cluster": {"bolillos", func(t *testing.T, good, _ *authority) *transport.Certificates {
			return load(t, good.write(t.TempDir(), good))
		}, &observe.PeerClusterRefused},
		"certificate of another authority": {"tidewake", func(t *testing.T, good, bad *authority) *transport.Certificates {
			return load(t, bad.write(t.TempDir(), good))
		}, &observe.PeerCertificateRefused},
		"server not trusted": {"tidewake", func(t *testing.T, good, bad *authority) *transport.Certificates {
			return load(t, good.write(t.TempDir(), bad))
		}, &observe.PeerCertificateRefused},
		"plaintext": {"tidewake", func(*testing.T, *authority, *authority) *transport.Certificates { return nil }, &observe.PeerCertificateRefused},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				good, bad := newAuthority(t, "good"), newAuthority(t, "bad")
				s := startServer(t, load(t, good.write(t.TempDir(), good)))
				_, err := call(t, s.pool(t, c.cluster, c.client(t, good, bad)))
				if c.event == nil {
					require.NoError(t, err)
					return
				}
				require.Error(t, err)
				synctest.Wait()
				assert.True(t, s.hasLogged(*c.event))
			})
		})
	}
}

// TestCertificatesAreReloaded replaces the files of a server and a client by those of another authority while both run.
// New connections must use the new files, and a client with a certificate of the old authority must be refused.
func TestCertificatesAreReloaded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		before, after := newAuthority(t, "before"), newAuthority(t, "after")
		serverFolder, clientFolder, oldFolder := t.TempDir(), t.TempDir(), t.TempDir()
		s := startServer(t, load(t, before.write(serverFolder, before)))
		pool := s.pool(t, "tidewake", load(t, before.write(clientFolder, before)))
		oldClientPool := s.pool(t, "tidewake", load(t, before.write(oldFolder, before)))
		conn, err := call(t, pool)
		require.NoError(t, err)

		time.Sleep(2 * time.Second)
		after.write(serverFolder, after)
		after.write(clientFolder, after)
		time.Sleep(2 * time.Second)
		_, err = call(t, pool)
		require.NoError(t, err, "an open connection must keep working after the files have changed")
		require.NoError(t, s.lastConn.Close())
		time.Sleep(2 * time.Second)
		_, err = call(t, pool)
		require.NoError(t, err, "a reconnect must use the new files")
		pool.Discard(address, conn)
		renewed, err := call(t, pool)
		require.NoError(t, err, "a new connection must use the new files")
		require.NotSame(t, conn, renewed)
		_, err = call(t, oldClientPool)
		require.Error(t, err, "a certificate of the old authority must be refused")
	})
}
