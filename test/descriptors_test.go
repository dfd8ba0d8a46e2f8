package test

import "testing"

// TestHealthIsAnsweredBesideCallersWithoutEnd guards against callers who take the descriptors that the health checks
// need, for as long as they stay.
func TestHealthIsAnsweredBesideCallersWithoutEnd(t *testing.T) {
	for _, role := range []string{"gateway", "router"} {
		for _, port := range []string{"callers", "peers"} {
			t.Run(role+"/"+port, func(t *testing.T) {
				p := newRole(t, role)
				p.start()
				p.answers(p.admin, "/health/live")
				p.limitDescriptors()
				closeAll := p.fill(map[string]string{"callers": p.callers, "peers": p.peers}[port])
				defer closeAll()
				p.answers(p.admin, "/health/live")
			})
		}
	}
}
