package transport

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/time/rate"
	"google.golang.org/grpc/credentials"

	"godwityoke.example/godwityoke/internal/observe"
	"godwityoke.example/godwityoke/internal/settings"
)

// reloadInterval is the shortest time between two looks at the files.
const reloadInterval = time.Second

const (
	// refusalLinesPerSecond and refusalLinesBurst bound the log lines on refused
	// peers.
	refusalLinesPerSecond = 1
	refusalLinesBurst     = 5
)

// CertificateFiles names the PEM files for mutual TLS.
type CertificateFiles struct {
	Certificate string
	Key         string
	// CA holds the certificates of the authorities whose VMs are trusted.
	CA string
}

// Certificates holds this VM's certificate and the trusted authorities. The
// files are read again when they change, so that a renewed certificate is used
// for new connections without a restart. It is safe for concurrent use.
type Certificates struct {
	files   CertificateFiles
	mu      sync.Mutex
	checked time.Time
	stamp   fileStamp
	current *tls.Config
}

// fileStamp tells whether one of the files changed.
type fileStamp struct {
	certificate, key, ca time.Time
}

// LoadCertificates reads the files. It fails when one of them can't be used.
func LoadCertificates(files CertificateFiles) (*Certificates, error) {
	certificates := &Certificates{files: files}
	stamp, err := files.stamp()
	if err != nil {
		return nil, err
	}
	config, err := files.load()
	if err != nil {
		return nil, err
	}
	certificates.current, certificates.stamp, certificates.checked = config, stamp, time.Now()
	return certificates, nil
}

// Config returns the TLS configuration of the files as they are now, for both
// sides of a connection. While changed files can't be used, it returns the
// last usable one.
func (c *Certificates) Config() *tls.Config {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Since(c.checked) >= reloadInterval {
		c.checked = time.Now()
		c.reload()
	}
	return c.current.Clone()
}

func (c *Certificates) reload() {
	stamp, err := c.files.stamp()
	if err != nil || stamp == c.stamp {
		return
	}
	config, err := c.files.load()
	if err != nil {
		return
	}
	c.current, c.stamp = config, stamp
}

func (f CertificateFiles) stamp() (fileStamp, error) {
	var stamp fileStamp
	targets := []*time.Time{&stamp.certificate, &stamp.key, &stamp.ca}
	for i, file := range []string{f.Certificate, f.Key, f.CA} {
		info, err := os.Stat(file)
		if err != nil {
			return fileStamp{}, fmt.Errorf("certificate file: %w", err)
		}
		*targets[i] = info.ModTime()
	}
	return stamp, nil
}

func (f CertificateFiles) load() (*tls.Config, error) {
	pair, err := tls.LoadX509KeyPair(f.Certificate, f.Key)
	if err != nil {
		return nil, fmt.Errorf("certificate %s with key %s: %w", f.Certificate, f.Key, err)
	}
	pem, err := os.ReadFile(f.CA)
	if err != nil {
		return nil, fmt.Errorf("certificate authorities: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("certificate authorities: %s: %w", f.CA, errNoCertificate)
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{pair},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
	}, nil
}

var errNoCertificate = errors.New("the file holds no PEM certificate")

// CertificatesFromSettings reads the files that the settings name. It returns nil, which
// means plaintext, when the settings name none.
func CertificatesFromSettings(files settings.TLS) (*Certificates, error) {
	if files.Plaintext || files == (settings.TLS{}) {
		return nil, nil
	}
	return LoadCertificates(CertificateFiles{Certificate: files.CertFile, Key: files.KeyFile, CA: files.CAFile})
}

// ClientConfig returns a configuration for one client, nil for plaintext.
func (c *Certificates) ClientConfig() *tls.Config {
	if c == nil {
		return nil
	}
	return c.Config()
}

// Listener returns a listener for TLS over inner, or inner itself for
// plaintext.
func (c *Certificates) Listener(inner net.Listener) net.Listener {
	if c == nil {
		return inner
	}
	return tls.NewListener(inner, c.ServerConfig("http/1.1"))
}

// ServerConfig returns a configuration for a listener that follows changes of
// the files.
func (c *Certificates) ServerConfig(protocols ...string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: protocols,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			config := c.Config()
			config.NextProtos = protocols
			return config, nil
		},
	}
}

func (c *Certificates) clientCredentials() credentials.TransportCredentials {
	return &reloadingCredentials{TransportCredentials: credentials.NewTLS(c.Config()), certificates: c}
}

func (c *Certificates) serverCredentials(log zerolog.Logger) credentials.TransportCredentials {
	inner := credentials.NewTLS(c.ServerConfig("h2"))
	return &reloadingCredentials{
		TransportCredentials: inner, certificates: c, log: log,
		refusals: rate.NewLimiter(refusalLinesPerSecond, refusalLinesBurst),
	}
}

// reloadingCredentials makes each handshake with the files as they are then,
// and logs the peers that a server refuses.
type reloadingCredentials struct {
	credentials.TransportCredentials
	certificates *Certificates
	log          zerolog.Logger
	refusals     *rate.Limiter
}

// ClientHandshake implements credentials.TransportCredentials.
func (r *reloadingCredentials) ClientHandshake(ctx context.Context, authority string, raw net.Conn) (net.Conn, credentials.AuthInfo, error) {
	return credentials.NewTLS(r.certificates.Config()).ClientHandshake(ctx, authority, raw)
}

// ServerHandshake implements credentials.TransportCredentials.
func (r *reloadingCredentials) ServerHandshake(raw net.Conn) (net.Conn, credentials.AuthInfo, error) {
	conn, info, err := r.TransportCredentials.ServerHandshake(raw)
	if err != nil && r.refusals.Allow() {
		observe.Log(r.log, observe.PeerCertificateRefused).Str("peer", raw.RemoteAddr().String()).Err(err).Send()
	}
	return conn, info, err
}

// Clone implements credentials.TransportCredentials.
func (r *reloadingCredentials) Clone() credentials.TransportCredentials {
	clone := *r
	clone.TransportCredentials = r.TransportCredentials.Clone()
	return &clone
}
