package controller

import (
	"net"
	"slices"

	"github.com/gofiber/fiber/v3"
	"github.com/rotisserie/eris"

	"github.com/thorntiller/thorntiller/internal/certificate"
	"github.com/thorntiller/thorntiller/internal/config"
	"github.com/thorntiller/thorntiller/internal/fault"
	"github.com/thorntiller/thorntiller/internal/message"
	"github.com/thorntiller/thorntiller/internal/wire"
)

// security authenticates peers and operators by their certificates. store is nil if the settings ask for plain
// text.
type security struct {
	settings config.Controller
	store    *certificate.Store
}

func newSecurity(settings config.Controller) (*security, error) {
	store, err := certificate.OpenIfNamed(settings.TLS.Files())
	return &security{settings: settings, store: store}, err
}

// dial returns the function that opens connections to other processes; nil means plain text.
func (s *security) dial() wire.DialFunc {
	if s.store == nil {
		return nil
	}
	return s.store.Dial
}

func (s *security) listener(inner net.Listener) net.Listener {
	if s.store == nil {
		return inner
	}
	return s.store.Listener(inner)
}

// checkPeer requires that a peer has the name it claims, and that only controllers take part in consensus and
// formation: those in the settings or, with seeds, those whose certificates contain the organizational unit of
// controllers.
func (s *security) checkPeer(connection *wire.Conn, hello message.Hello) error {
	if s.store == nil {
		return nil
	}
	name, known := connection.PeerName()
	if !known || name != hello.From {
		return eris.Errorf("peer claims the name %q, but its certificate has the name %q", hello.From, name)
	}
	if hello.Purpose != message.PurposeConsensus && hello.Purpose != message.PurposeFormation {
		return nil
	}
	if len(s.settings.Controllers) == 0 {
		return s.checkUnit(name, connection.PeerUnits())
	}
	for _, peer := range s.settings.Controllers {
		if peer.Name == name {
			return nil
		}
	}
	return eris.Errorf("%q is not among the configured controllers", name)
}

// checkUnit requires that a certificate belongs to a controller.
func (s *security) checkUnit(name string, units []string) error {
	if slices.Contains(units, s.settings.ControllerUnit) {
		return nil
	}
	return eris.Errorf("the certificate of %q has the organizational units %q; that of a controller must have %q, see controller_unit", name, units, s.settings.ControllerUnit)
}

// authorize requires a right of the caller and returns the name to record: that of its certificate, or the
// claimed one if certificates are not used.
func (s *security) authorize(call fiber.Ctx, right config.Right, claimed string) (string, error) {
	if s.store == nil {
		return claimed, nil
	}
	name := ""
	if state := call.RequestCtx().TLSConnectionState(); state != nil && len(state.PeerCertificates) > 0 {
		name = state.PeerCertificates[0].Subject.CommonName
	}
	for _, operator := range s.settings.API.Operators {
		if operator.Name == name && hasRight(operator, right) {
			return name, nil
		}
	}
	return "", fault.Newf(fault.Unauthorized, "operator %q lacks the right %q: add it to api.operators of the controllers", name, right)
}

func hasRight(operator config.Operator, wanted config.Right) bool {
	for _, right := range operator.Rights {
		if config.Right(right) == wanted {
			return true
		}
	}
	return false
}
