package router

import (
	"context"
	"net"

	"github.com/rotisserie/eris"

	"github.com/thorntiller/thorntiller/internal/certificate"
	"github.com/thorntiller/thorntiller/internal/config"
	"github.com/thorntiller/thorntiller/internal/telemetry"
)

// openCertificates returns nil where the settings ask for plain text.
func openCertificates(settings config.TLS) (*certificate.Store, error) {
	if !settings.Enabled() {
		return nil, nil
	}
	store, err := certificate.Open(settings.Files())
	return store, eris.Wrap(err, "tls")
}

// secure makes the listener for other routers demand certificates. Callers'
// connections stay as they are: they speak their usual protocol.
func (r *Router) secure(inner net.Listener) net.Listener {
	if r.certificates == nil {
		return inner
	}
	return r.certificates.Listener(inner)
}

// watchCertificates takes up replaced certificates until the context ends.
func (r *Router) watchCertificates(ctx context.Context) {
	if r.certificates == nil {
		return
	}
	r.certificates.Watch(ctx, r.settings.TLS.ReloadInterval, func(renewed bool, err error) {
		if err != nil {
			telemetry.WithError(r.log, telemetry.EventCertificateFailed, err).Warn("the certificate files changed but cannot be used")
		}
		if renewed {
			telemetry.With(r.log, telemetry.EventCertificateRenewed).Info("certificates read again")
		}
	})
}
