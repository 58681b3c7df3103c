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

// reloadInterval is the minimum time between two checks of the certificate files for changes.
const reloadInterval = time.Second

const (
	// refusalLinesPerSecond and refusalLinesBurst limit the rate of log lines about refused peers. The limit is separate
	// for refused certificates and for refused cluster names.
	refusalLinesPerSecond = 1
	refusalLinesBurst     = 5
)

// CertificateFiles holds the paths of the PEM files for mutual TLS.
type CertificateFiles struct {
	Certificate string
	Key         string
	// CA is the file with the certificates of the trusted authorities.
	CA string
}

// Certificates holds the certificate of this VM and the trusted authorities. It reloads the files after they have
// changed, so that new connections use a renewed certificate without a restart. It is safe for concurrent use.
type Certificates struct {
	files     CertificateFiles
	mu        sync.Mutex
	checkedAt time.Time
	modTimes  fileModTimes
	current   *tls.Config
}

// fileModTimes holds the modification times of the files, by which changes are detected.
type fileModTimes struct {
	certificate, key, ca time.Time
}

// LoadCertificates reads the files. It returns an error if one of them can't be read or parsed.
func LoadCertificates(files CertificateFiles) (*Certificates, error) {
	certificates := &Certificates{files: files}
	modTimes, err := files.modTimes()
	if err != nil {
		return nil, err
	}
	config, err := files.load()
	if err != nil {
		return nil, err
	}
	certificates.current, certificates.modTimes, certificates.checkedAt = config, modTimes, time.Now()
	return certificates, nil
}

// Config returns a TLS configuration for both sides of a connection. It checks the files for changes at most every
// reloadInterval. If changed files can't be loaded, it returns the last valid configuration and tries again after
// reloadInterval.
func (c *Certificates) Config() *tls.Config {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Since(c.checkedAt) >= reloadInterval {
		c.checkedAt = time.Now()
		c.reload()
	}
	return c.current.Clone()
}

func (c *Certificates) reload() {
	modTimes, err := c.files.modTimes()
	if err != nil || modTimes == c.modTimes {
		return
	}
	config, err := c.files.load()
	if err != nil {
		return
	}
	c.current, c.modTimes = config, modTimes
}

func (f CertificateFiles) modTimes() (fileModTimes, error) {
	var modTimes fileModTimes
	targets := []*time.Time{&modTimes.certificate, &modTimes.key, &modTimes.ca}
	for i, file := range []string{f.Certificate, f.Key, f.CA} {
		info, err := os.Stat(file)
		if err != nil {
			return fileModTimes{}, fmt.Errorf("certificate file: %w", err)
		}
		*targets[i] = info.ModTime()
	}
	return modTimes, nil
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

// CertificatesFromSettings reads the files that the settings name. It returns nil, which means plaintext, if the
// settings ask for plaintext or are empty.
func CertificatesFromSettings(files settings.TLS) (*Certificates, error) {
	if files.Plaintext || files == (settings.TLS{}) {
		return nil, nil
	}
	return LoadCertificates(CertificateFiles{Certificate: files.CertFile, Key: files.KeyFile, CA: files.CAFile})
}

// ClientConfig returns the TLS configuration for a client, nil for plaintext. It doesn't follow later changes of the
// files.
func (c *Certificates) ClientConfig() *tls.Config {
	if c == nil {
		return nil
	}
	return c.Config()
}

// Listener returns a TLS listener for HTTP/1.1 over inner, or inner itself for plaintext.
func (c *Certificates) Listener(inner net.Listener) net.Listener {
	if c == nil {
		return inner
	}
	return tls.NewListener(inner, c.ServerConfig("http/1.1"))
}

// ServerConfig returns a TLS configuration for a server with the given ALPN protocols. Each handshake uses the current
// files.
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

// reloadingCredentials uses the current files for each handshake, and logs the failed handshakes of a server.
type reloadingCredentials struct {
	credentials.TransportCredentials
	certificates *Certificates
	log          zerolog.Logger
	// refusals limits the log lines about failed handshakes. It is nil on the side of a client.
	refusals *rate.Limiter
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
