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

// Files are the paths of PEM files.
type Files struct {
	// Certificate holds the process's certificate and its chain.
	Certificate string
	// Key holds the certificate's private key.
	Key string
	// Authority holds the certificates that sign the peers' certificates.
	Authority string
}

// Empty reports whether no file is named, which stands for plain text.
func (f Files) Empty() bool {
	return f == Files{}
}

// material is one consistent reading of the files.
type material struct {
	certificate tls.Certificate
	authority   *x509.CertPool
	read        [3]fileVersion
}

// fileVersion tells whether a file changed.
type fileVersion struct {
	modified time.Time
	size     int64
}

// Store holds the newest readable material. It is safe for concurrent use.
type Store struct {
	files   Files
	current atomic.Pointer[material]
}

// Open reads the files. The error names the file that cannot be used.
func Open(files Files) (*Store, error) {
	store := &Store{files: files}
	loaded, err := store.load()
	if err != nil {
		return nil, err
	}
	store.current.Store(loaded)
	return store, nil
}

func (s *Store) load() (*material, error) {
	loaded := &material{read: s.versions()}
	var err error
	if loaded.certificate, err = tls.LoadX509KeyPair(s.files.Certificate, s.files.Key); err != nil {
		return nil, eris.Wrapf(err, "certificate %q with key %q", s.files.Certificate, s.files.Key)
	}
	encoded, err := os.ReadFile(s.files.Authority)
	if err != nil {
		return nil, eris.Wrapf(err, "authority %q", s.files.Authority)
	}
	loaded.authority = x509.NewCertPool()
	if !loaded.authority.AppendCertsFromPEM(encoded) {
		return nil, eris.Errorf("authority %q holds no certificate in PEM form", s.files.Authority)
	}
	return loaded, nil
}

func (s *Store) versions() [3]fileVersion {
	var versions [3]fileVersion
	for position, path := range []string{s.files.Certificate, s.files.Key, s.files.Authority} {
		if info, err := os.Stat(path); err == nil {
			versions[position] = fileVersion{modified: info.ModTime(), size: info.Size()}
		}
	}
	return versions
}

// Refresh reads the files again if one of them changed, and reports whether the
// material is new. After an error the earlier material stays in use: a
// certificate and its key are often replaced one after the other.
func (s *Store) Refresh() (bool, error) {
	if s.versions() == s.current.Load().read {
		return false, nil
	}
	loaded, err := s.load()
	if err != nil {
		return false, err
	}
	s.current.Store(loaded)
	return true, nil
}

// OpenIfNamed reads the files, or returns nil, which stands for plain text, if
// none is named.
func OpenIfNamed(files Files) (*Store, error) {
	if files.Empty() {
		return nil, nil
	}
	store, err := Open(files)
	return store, eris.Wrap(err, "tls")
}

// Watch refreshes at each interval until the context ends, and logs what came
// of it. A nil store returns at once.
func (s *Store) Watch(ctx context.Context, interval time.Duration, log *logrus.Entry) {
	if s == nil {
		return
	}
	clock.Every(ctx, interval, func() { s.refreshAndLog(log) })
}

func (s *Store) refreshAndLog(log *logrus.Entry) {
	renewed, err := s.Refresh()
	switch {
	case err != nil:
		telemetry.WithError(log, telemetry.EventCertificateFailed, err).Warn("the certificate files changed but cannot be used")
	case renewed:
		telemetry.With(log, telemetry.EventCertificateRenewed).Info("certificates read again")
	}
}

// Listener accepts TLS connections whose peers present a certificate of the
// authority. Connections that stand keep the material that they began with.
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

// ClientConfig returns the settings for connections to one host, which must
// present a certificate of the authority for that host. It holds the material
// of the moment, so ask for it anew for each connection.
func (s *Store) ClientConfig(host string) *tls.Config {
	newest := s.current.Load()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{newest.certificate},
		RootCAs:      newest.authority,
		ServerName:   host,
	}
}

// Dial opens a TLS connection to an address, IP:port, and completes the
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

// PeerName returns the common name of the certificate that the peer of a TLS
// connection presented, or false for a plain connection or before the handshake.
func PeerName(connection net.Conn) (string, bool) {
	subject, known := peerSubject(connection)
	return subject.CommonName, known
}

// PeerUnits returns the organizational units of that certificate; none where PeerName knows no name.
func PeerUnits(connection net.Conn) []string {
	subject, _ := peerSubject(connection)
	return subject.OrganizationalUnit
}

func peerSubject(connection net.Conn) (pkix.Name, bool) {
	secured, isTLS := connection.(*tls.Conn)
	if !isTLS {
		return pkix.Name{}, false
	}
	presented := secured.ConnectionState().PeerCertificates
	if len(presented) == 0 {
		return pkix.Name{}, false
	}
	return presented[0].Subject, true
}
