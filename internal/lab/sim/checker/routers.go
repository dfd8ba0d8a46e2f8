package checker

import (
	"time"

	"github.com/thorntiller/thorntiller/internal/state"
)

type routerChecker struct {
	served map[string]state.Revision
}

func newRouterChecker() routerChecker {
	return routerChecker{served: make(map[string]state.Revision)}
}

// Serves records that a router claims to be fresh and serves by a revision. It
// must hold all that was committed up to limit ago, in true time, and never go
// back, also after a restart.
func (c *Checker) Serves(router string, revision state.Revision, limit time.Duration) {
	if least := c.tableAt(c.now() - limit); revision < least {
		c.Fail(Freshness, "%s serves by revision %d, but %d was committed more than %v ago", router, revision, least, limit)
	}
	if served := c.routers.served[router]; revision < served {
		c.Fail(RevisionOrder, "%s serves by revision %d after %d", router, revision, served)
	}
	c.routers.served[router] = revision
}
