package authority

import (
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
	"time"

	"github.com/rotisserie/eris"

	"github.com/thorntiller/thorntiller/internal/certificate"
)

const (
	lifetime = 24 * time.Hour
	// skew is how far back certificates are valid already.
	skew        = time.Minute
	privateMode = 0o600
)

// Authority signs certificates and writes them to a folder.
type Authority struct {
	folder      string
	key         *ecdsa.PrivateKey
	certificate *x509.Certificate
	path        string
	issued      int64
}

// New returns an authority whose own certificate stands in the folder.
func New(folder, name string) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, eris.Wrap(err, "draw the authority's key")
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-skew), NotAfter: time.Now().Add(lifetime),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	signed, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, eris.Wrap(err, "sign the authority's certificate")
	}
	parsed, err := x509.ParseCertificate(signed)
	if err != nil {
		return nil, eris.Wrap(err, "read the authority's certificate")
	}
	created := &Authority{folder: folder, key: key, certificate: parsed, path: filepath.Join(folder, name+".crt"), issued: 1}
	return created, writePEM(created.path, "CERTIFICATE", signed)
}

// Paths returns where the files of a name stand once they are issued.
func (a *Authority) Paths(name string) certificate.Files {
	return certificate.Files{
		Certificate: filepath.Join(a.folder, name+".crt"), Key: filepath.Join(a.folder, name+".key"), Authority: a.path,
	}
}

// Issue writes a certificate for a process or operator of that common name on
// this machine, for either side of a connection. An earlier one is replaced.
func (a *Authority) Issue(name string) (certificate.Files, error) {
	return a.IssueTo(Holder{Name: name, Addresses: []net.IP{net.IPv4(127, 0, 0, 1), net.IPv6loopback}})
}

// Holder is whom a certificate is issued to.
type Holder struct {
	// Name is the common name, Unit the organizational unit; empty for none.
	Name, Unit string
	// Addresses are those by which others reach the process.
	Addresses []net.IP
}

// IssueTo writes a certificate for a holder, for either side of a connection. An earlier one
// of the same name is replaced.
func (a *Authority) IssueTo(holder Holder) (certificate.Files, error) {
	name := holder.Name
	files := a.Paths(name)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return files, eris.Wrap(err, "draw a key")
	}
	a.issued++
	subject := pkix.Name{CommonName: name}
	if holder.Unit != "" {
		subject.OrganizationalUnit = []string{holder.Unit}
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(a.issued), Subject: subject,
		NotBefore: time.Now().Add(-skew), NotAfter: time.Now().Add(lifetime),
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		IPAddresses: holder.Addresses,
	}
	signed, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		return files, eris.Wrap(err, "sign a certificate")
	}
	encoded, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return files, eris.Wrap(err, "encode a key")
	}
	if err := writePEM(files.Certificate, "CERTIFICATE", signed); err != nil {
		return files, err
	}
	return files, writePEM(files.Key, "EC PRIVATE KEY", encoded)
}

func writePEM(path, kind string, content []byte) error {
	encoded := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: content})
	return eris.Wrapf(os.WriteFile(path, encoded, privateMode), "write %s", path)
}
