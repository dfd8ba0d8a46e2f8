package certificate

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/thorntiller/thorntiller/internal/clock"
	"github.com/thorntiller/thorntiller/internal/telemetry"
)

// Files holds the paths of the PEM files of one process.
type Files struct {
	// Certificate is the file with the process's certificate and its chain.
	Certificate string
	// Key is the file with the certificate's private key.
	Key string
	// Authority is the file with the CA certificates that sign the peers' certificates.
	Authority string
}

// Empty reports whether no file is configured, which means connections without TLS.
func (f Files) Empty() bool {
	return f == Files{}
}

// credentials is the result of one load of the files. The versions are taken before the files
// are read, so that a change during the load is found by the next Refresh.
type credentials struct {
	certificate tls.Certificate
	authority   *x509.CertPool
	versions    [3]fileVersion
}

// fileVersion is compared to detect a change of a file.
type fileVersion struct {
	modified time.Time
	size     int64
}

// Store holds the credentials of the last successful load. It is safe for concurrent use.
type Store struct {
	files   Files
	current atomic.Pointer[credentials]
}

// Open loads the files. The error names the file that cannot be used.
func Open(files Files) (*Store, error) {
	store := &Store{files: files}
	loaded, err := store.load()
	if err != nil {
		return nil, err
	}
	store.current.Store(loaded)
	return store, nil
}

func (s *Store) load() (*credentials, error) {
	loaded := &credentials{versions: s.versions()}
	var err error
	if loaded.certificate, err = tls.LoadX509KeyPair(s.files.Certificate, s.files.Key); err != nil {
		return nil, eris.Wrapf(err, "certificate %q with key %q", s.files.Certificate, s.files.Key)
	}
	authorityPEM, err := os.ReadFile(s.files.Authority)
	if err != nil {
		return nil, eris.Wrapf(err, "authority %q", s.files.Authority)
	}
	loaded.authority = x509.NewCertPool()
	if !loaded.authority.AppendCertsFromPEM(authorityPEM) {
		return nil, eris.Errorf("authority %q holds no certificate in PEM form", s.files.Authority)
	}
	return loaded, nil
}

func (s *Store) versions() [3]fileVersion {
	var versions [3]fileVersion
	for i, path := range []string{s.files.Certificate, s.files.Key, s.files.Authority} {
		if info, err := os.Stat(path); err == nil {
			versions[i] = fileVersion{modified: info.ModTime(), size: info.Size()}
		}
	}
	return versions
}

// Refresh reloads the files if one of them changed, and reports whether it did.
// After an error the previous credentials stay in use, because a certificate and its
// key are often replaced one after the other.
func (s *Store) Refresh() (bool, error) {
	if s.versions() == s.current.Load().versions {
		return false, nil
	}
	loaded, err := s.load()
	if err != nil {
		return false, err
	}
	s.current.Store(loaded)
	return true, nil
}

// OpenIfNamed loads the files. If none is configured it returns a nil Store, which means
// connections without TLS.
func OpenIfNamed(files Files) (*Store, error) {
	if files.Empty() {
		return nil, nil
	}
	store, err := Open(files)
	return store, eris.Wrap(err, "tls")
}

// Watch calls Refresh once per interval until the context is done, and logs reloads and
// errors. On a nil Store it returns immediately.
func (s *Store) Watch(ctx context.Context, interval time.Duration, log *logrus.Entry) {
	if s == nil {
		return
	}
	clock.Every(ctx, interval, func() { s.refreshAndLog(log) })
}

func (s *Store) refreshAndLog(log *logrus.Entry) {
	reloaded, err := s.Refresh()
	switch {
	case err != nil:
		telemetry.WithError(log, telemetry.EventCertificateFailed, err).Warn("cannot load the changed certificate files")
	case reloaded:
		telemetry.With(log, telemetry.EventCertificateRenewed).Info("certificates reloaded")
	}
}

// Listener returns a listener that accepts TLS connections whose peers present a
// certificate signed by the authority. Established connections keep the credentials that
// they were opened with.
func (s *Store) Listener(inner net.Listener) net.Listener {
	return tls.NewListener(inner, &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			newest := s.current.Load()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{newest.certificate},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    newest.authority,
			}, nil
		},
	})
}

// ClientConfig returns the TLS configuration for a connection to one host, which must
// present a certificate that is signed by the authority and valid for that host. The
// configuration holds the current credentials and is not updated by Refresh, so call
// ClientConfig for each new connection.
func (s *Store) ClientConfig(host string) *tls.Config {
	newest := s.current.Load()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{newest.certificate},
		RootCAs:      newest.authority,
		ServerName:   host,
	}
}

// Dial opens a TLS connection to an address of the form IP:port and completes the
// handshake.
func (s *Store) Dial(ctx context.Context, address string) (net.Conn, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, eris.Wrapf(err, "address %q", address)
	}
	dialer := tls.Dialer{Config: s.ClientConfig(host)}
	connection, err := dialer.DialContext(ctx, "tcp", address)
	return connection, eris.Wrapf(err, "connect to %s by TLS", address)
}

// PeerName returns the common name of the certificate that the peer of a TLS connection
// presented, or false for a connection without TLS or before the handshake.
func PeerName(connection net.Conn) (string, bool) {
	subject, present := peerSubject(connection)
	return subject.CommonName, present
}

// PeerUnits returns the organizational units of the peer's certificate. It returns none
// where PeerName returns false.
func PeerUnits(connection net.Conn) []string {
	subject, _ := peerSubject(connection)
	return subject.OrganizationalUnit
}

func peerSubject(connection net.Conn) (pkix.Name, bool) {
	tlsConnection, isTLS := connection.(*tls.Conn)
	if !isTLS {
		return pkix.Name{}, false
	}
	certificates := tlsConnection.ConnectionState().PeerCertificates
	if len(certificates) == 0 {
		return pkix.Name{}, false
	}
	return certificates[0].Subject, true
}
