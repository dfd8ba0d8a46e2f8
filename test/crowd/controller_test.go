package crowd

import (
	"net/http"
	"strings"
	"testing"
)

// controllerMachine is the machine that a controller runs on.
var controllerMachine = machine{memoryBytes: 280e6, descriptors: 4096}

// group is a controller that is alone in its cluster.
type group struct {
	t          *testing.T
	controller *process
	api, peers string
}

func newGroup(t *testing.T, settings string) *group {
	t.Helper()
	ports := freePorts(t, 2)
	g := &group{t: t, api: ports[0], peers: ports[1]}
	g.controller = startController(t, g.api, g.peers, settings)
	configure(g.controller, g.api)
	return g
}

// allConnections lets the API use the descriptors of the machine.
const allConnections = "api: {max_connections: 4096}\n"

// patientConnections is allConnections, with bodies that may take longer than the test waits.
const patientConnections = "api: {max_connections: 4096, request_timeout: 1m}\n"

// TestControllerBodiesThatStopShort guards against a controller that runs out of memory by bodies with a length.
func TestControllerBodiesThatStopShort(t *testing.T) {
	g := newGroup(t, allConnections)
	g.outlasts(newCrowd(t, g.api, 500, bodyShort(mebibyte)))
}

// TestControllerChunkedBodiesThatStopShort guards against a controller that runs out of memory by bodies in chunks.
func TestControllerChunkedBodiesThatStopShort(t *testing.T) {
	g := newGroup(t, allConnections)
	g.outlasts(newCrowd(t, g.api, 300, chunkedShort(mebibyte, 64<<10)))
}

// TestControllerFramesThatStopShort guards against a controller that runs out of memory by messages of its peers' port.
func TestControllerFramesThatStopShort(t *testing.T) {
	g := newGroup(t, "")
	g.outlasts(newCrowd(t, g.peers, 24, frameShort(16*mebibyte)))
}

// TestControllerServesBesideRestingConnections guards against connections without progress that take all places of
// instances and operators.
func TestControllerServesBesideRestingConnections(t *testing.T) {
	newGroup(t, "api: {max_connections: 200}\n").servesBesideResting()
}

// TestControllerServesBesideMoreRestingConnectionsThanDescriptors guards against connections without progress that take
// all descriptors of instances and operators, and keep them.
func TestControllerServesBesideMoreRestingConnectionsThanDescriptors(t *testing.T) {
	newGroup(t, patientConnections+restingDescriptors).servesBesideResting()
}

// servesBesideResting waits until an ordinary call is served while connections beyond the places rest.
func (g *group) servesBesideResting() {
	g.t.Helper()
	g.controller.servesBesideResting(g.api, controllerMachine, g.answersOrdinary)
}

// answersOrdinary waits until an ordinary call is served.
func (g *group) answersOrdinary() {
	g.t.Helper()
	g.controller.eventually("an ordinary call is served", func() bool {
		request, err := http.NewRequest(http.MethodPost, "http://"+g.api+"/v1/items/read", strings.NewReader(""))
		if err != nil {
			g.t.Fatal(err)
		}
		status, err := exchange(g.api, request)
		return err == nil && status == http.StatusOK
	})
}

// outlasts plays a crowd against the controller.
func (g *group) outlasts(c *crowd) {
	g.t.Helper()
	g.controller.outlasts(c, controllerMachine, g.answersOrdinary)
}
