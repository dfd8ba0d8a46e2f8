package certificate_test

import (
	"context"
	"net"
	"os"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/thorntiller/thorntiller/internal/certificate"
	"github.com/thorntiller/thorntiller/internal/lab/authority"
)

func issue(t *testing.T, signer *authority.Authority, name string) certificate.Files {
	t.Helper()
	files, err := signer.Issue(name)
	if err != nil {
		t.Fatal(err)
	}
	return files
}

func open(t *testing.T, files certificate.Files) *certificate.Store {
	t.Helper()
	store, err := certificate.Open(files)
	if err != nil {
		t.Fatal(err)
	}
	return store
}

func newAuthority(t *testing.T, name string) *authority.Authority {
	t.Helper()
	signer, err := authority.New(t.TempDir(), name)
	if err != nil {
		t.Fatal(err)
	}
	return signer
}

// connect opens one connection and returns the name that the server read from the client's certificate.
func connect(t *testing.T, server, client *certificate.Store) (peer string, err error) {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener := server.Listener(inner)
	defer func() { _ = listener.Close() }()
	var accepting conc.WaitGroup
	defer accepting.Wait()
	accepting.Go(func() {
		accepted, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = accepted.Close() }()
		data := make([]byte, 1)
		if _, err := accepted.Read(data); err != nil {
			return
		}
		peer, _ = certificate.PeerName(accepted)
		_, _ = accepted.Write(data)
	})
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	connection, err := client.Dial(ctx, inner.Addr().String())
	if err != nil {
		_ = listener.Close()
		return "", err
	}
	defer func() { _ = connection.Close() }()
	_ = connection.SetDeadline(time.Now().Add(10 * time.Second))
	if _, err := connection.Write([]byte("x")); err != nil {
		return "", err
	}
	_, err = connection.Read(make([]byte, 1))
	accepting.Wait()
	return peer, err
}

func TestOnlyCertificatesOfTheAuthorityConnect(t *testing.T) {
	ours, theirs := newAuthority(t, "ours"), newAuthority(t, "theirs")
	server := open(t, issue(t, ours, "controller-1"))
	if peer, err := connect(t, server, open(t, issue(t, ours, "router-1"))); err != nil || peer != "router-1" {
		t.Fatalf("a certificate of the authority: peer %q, error %v", peer, err)
	}
	untrusted := issue(t, theirs, "router-1")
	untrusted.Authority = issue(t, ours, "other").Authority
	if _, err := connect(t, server, open(t, untrusted)); err == nil {
		t.Error("the server accepted a client certificate of another authority")
	}
	if _, err := connect(t, open(t, untrusted), open(t, issue(t, ours, "router-1"))); err == nil {
		t.Error("the client accepted a server certificate of another authority")
	}
}

func TestReplacedFilesAreTakenUpAndBadOnesAreNot(t *testing.T) {
	signer := newAuthority(t, "ours")
	files := issue(t, signer, "router-1")
	store := open(t, files)
	server := open(t, issue(t, signer, "controller-1"))
	if reloaded, err := store.Refresh(); reloaded || err != nil {
		t.Fatalf("unchanged files: reloaded %v, error %v", reloaded, err)
	}
	if err := os.WriteFile(files.Certificate, []byte("half of a certi"), 0o600); err != nil {
		t.Fatal(err)
	}
	if reloaded, err := store.Refresh(); reloaded || err == nil {
		t.Fatalf("damaged file: reloaded %v, error %v", reloaded, err)
	}
	if peer, err := connect(t, server, store); err != nil || peer != "router-1" {
		t.Fatalf("the earlier certificate is not in use: peer %q, error %v", peer, err)
	}
	other := issue(t, signer, "router-2")
	for from, to := range map[string]string{other.Certificate: files.Certificate, other.Key: files.Key} {
		if err := os.Rename(from, to); err != nil {
			t.Fatal(err)
		}
	}
	if reloaded, err := store.Refresh(); !reloaded || err != nil {
		t.Fatalf("replaced files: reloaded %v, error %v", reloaded, err)
	}
	if peer, err := connect(t, server, store); err != nil || peer != "router-2" {
		t.Errorf("the new certificate is not in use: peer %q, error %v", peer, err)
	}
}
