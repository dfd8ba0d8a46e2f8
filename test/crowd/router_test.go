package crowd

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
)

// router is a router of the product's own interface with its controller, and no services.
type router struct {
	t              *testing.T
	process        *process
	callers, peers string
}

func newRouter(t *testing.T, settings string) *router {
	t.Helper()
	ports := freePorts(t, 5)
	r := &router{t: t, callers: ports[0], peers: ports[1]}
	startController(t, ports[2], ports[3], "")
	r.process = startProcess(t, "router", fmt.Sprintf("role: router\nname: r1\naddress: %s\npeer_address: %s\nadmin_address: %s\ncontrollers: [%q]\n",
		r.callers, r.peers, ports[4], ports[3])+memorySetting+settings)
	r.process.listens(ports[4])
	r.answersOrdinary()
	return r
}

// TestRouterBodiesThatStopShort guards against a router that runs out of memory by large bodies with a length.
func TestRouterBodiesThatStopShort(t *testing.T) {
	r := newRouter(t, "")
	r.outlasts(newCrowd(t, r.callers, 24, bodyShort(16*mebibyte)))
}

// TestRouterChunkedBodiesThatStopShort guards against a router that runs out of memory by large bodies in chunks.
func TestRouterChunkedBodiesThatStopShort(t *testing.T) {
	r := newRouter(t, "")
	r.outlasts(newCrowd(t, r.callers, 24, chunkedShort(16*mebibyte, 64<<10)))
}

// TestRouterFramesThatStopShort guards against a router that runs out of memory by messages of its peers' port.
func TestRouterFramesThatStopShort(t *testing.T) {
	r := newRouter(t, "")
	r.outlasts(newCrowd(t, r.peers, 24, frameShort(16*mebibyte)))
}

// TestRouterAnswersBesideMoreRestingConnectionsThanDescriptors guards against connections without progress that take all
// descriptors of callers, and keep them.
func TestRouterAnswersBesideMoreRestingConnectionsThanDescriptors(t *testing.T) {
	r := newRouter(t, restingDescriptors)
	r.process.servesBesideResting(r.callers, smallestMachine, r.answersOrdinary)
}

// answersOrdinary waits until a request is answered by the table: it has no service.
func (r *router) answersOrdinary() {
	r.t.Helper()
	r.process.eventually("an ordinary request is answered", func() bool {
		request, err := http.NewRequest(http.MethodPost, "http://"+r.callers+"/no-service/ordinary", strings.NewReader("ordinary"))
		if err != nil {
			r.t.Fatal(err)
		}
		status, err := exchange(r.callers, request)
		return err == nil && status == http.StatusNotFound
	})
}

// outlasts plays a crowd against the router.
func (r *router) outlasts(c *crowd) {
	r.t.Helper()
	r.process.outlasts(c, smallestMachine, r.answersOrdinary)
}
