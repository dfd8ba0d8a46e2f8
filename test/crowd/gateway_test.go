package crowd

import (
	"io"
	"net/http"
	"strings"
	"testing"
)

const mebibyte = 1 << 20

// TestBodiesThatStopShort guards against a gateway that runs out of memory by large bodies with a length.
func TestBodiesThatStopShort(t *testing.T) {
	s := newSite(t, "")
	s.outlasts(newCrowd(t, s.callers, 24, bodyShort(16*mebibyte)))
}

// TestBodiesInPiecesThatStopShort guards against a gateway that runs out of memory by large bodies that come slowly.
func TestBodiesInPiecesThatStopShort(t *testing.T) {
	s := newSite(t, "")
	s.outlasts(newCrowd(t, s.callers, 24, bodyInPieces(16*mebibyte, 64)))
}

// TestChunkedBodiesThatStopShort guards against a gateway that runs out of memory by large bodies in chunks.
func TestChunkedBodiesThatStopShort(t *testing.T) {
	s := newSite(t, "")
	s.outlasts(newCrowd(t, s.callers, 24, chunkedShort(16*mebibyte, 64<<10)))
}

// TestSmallChunksThatStopShort guards against a gateway that runs out of memory by bodies in very small chunks.
func TestSmallChunksThatStopShort(t *testing.T) {
	s := newSite(t, "")
	s.outlasts(newCrowd(t, s.callers, 24, chunkedShort(6_000_000, 3)))
}

// TestManySmallBodiesThatStopShort guards against a gateway that runs out of memory by many small bodies.
func TestManySmallBodiesThatStopShort(t *testing.T) {
	s := newSite(t, "")
	c := newCrowd(t, s.callers, 3500, bodyShort(100_000))
	c.again = true
	s.outlasts(c)
}

// TestSlowReadersOfLongAnswers guards against a gateway that runs out of memory by answers that nobody takes.
func TestSlowReadersOfLongAnswers(t *testing.T) {
	s := newSite(t, "")
	c := newCrowd(t, s.callers, 24, slowReader(16*mebibyte))
	c.again = true
	s.outlasts(c)
}

// TestManySlowReaders guards against a gateway that runs out of memory by many answers that nobody takes.
func TestManySlowReaders(t *testing.T) {
	s := newSite(t, "")
	c := newCrowd(t, s.callers, 300, slowReader(1_000_000))
	c.again = true
	s.outlasts(c)
}

// TestHeadsWithoutEnd guards against a gateway that runs out of memory by heads that do not end.
func TestHeadsWithoutEnd(t *testing.T) {
	s := newSite(t, "")
	c := newCrowd(t, s.callers, 3500, headWithoutEnd(16_000))
	c.again = true
	s.outlasts(c)
}

// TestLargeHeadsWithoutEnd guards against a gateway that runs out of memory by heads that do not end, where large ones are
// allowed.
func TestLargeHeadsWithoutEnd(t *testing.T) {
	s := newSiteWithLargeHeads(t, 64<<10)
	c := newCrowd(t, s.callers, 3500, headWithoutEnd(60_000))
	c.again = true
	s.outlasts(c)
}

// TestVeryLargeHeadsWithoutEnd guards against the same by fewer heads, as large as the stand-in takes them.
func TestVeryLargeHeadsWithoutEnd(t *testing.T) {
	s := newSiteWithLargeHeads(t, mebibyte)
	c := newCrowd(t, s.callers, 400, headWithoutEnd(1_000_000))
	c.again = true
	s.outlasts(c)
}

// TestConnectionsAtRestAfterLargeHeads guards against a gateway that runs out of memory by the buffers of connections on
// which a large head has come.
func TestConnectionsAtRestAfterLargeHeads(t *testing.T) {
	s := newSiteWithLargeHeads(t, 64<<10)
	c := newCrowd(t, s.callers, 2000, largeHead(60_000))
	c.again = true
	s.outlasts(c)
}

// TestCallersAreServedBesideLargeHeads guards against a shortage of memory that leaves ordinary callers out.
func TestCallersAreServedBesideLargeHeads(t *testing.T) {
	s := newSiteWithLargeHeads(t, 64<<10)
	s.servesBeside(newCrowd(t, s.callers, 1500, headWithoutEnd(60_000)))
}

// TestAnnouncedBodies guards against memory that is taken for bodies of which only the length has come.
func TestAnnouncedBodies(t *testing.T) {
	s := newSite(t, "")
	c := newCrowd(t, s.callers, 20, announced("Content-Length: 16777216\r\n", "x"))
	c.again = true
	s.outlasts(c)
}

// TestAnnouncedChunks guards against memory that is taken for chunks of which only the length has come.
func TestAnnouncedChunks(t *testing.T) {
	s := newSite(t, "")
	c := newCrowd(t, s.callers, 20, announced("Transfer-Encoding: chunked\r\n", "1000000\r\nx"))
	c.again = true
	s.outlasts(c)
}

// TestLargestBodyInCalm: one request with the largest body is served on the smallest machine.
func TestLargestBodyInCalm(t *testing.T) {
	newSite(t, "").servesLargestBody(maxBodyBytes)
}

// TestLargestChunkedBodyInCalm: one request with the largest body in chunks is served on the smallest machine.
func TestLargestChunkedBodyInCalm(t *testing.T) {
	newSite(t, "").servesLargestBody(-1)
}

// servesLargestBody sends one request with the largest body; its length is -1 for a body in chunks.
func (s *site) servesLargestBody(length int64) {
	s.t.Helper()
	status, err := s.send(io.LimitReader(zeros{}, maxBodyBytes), length)
	if err != nil || status != http.StatusOK {
		s.t.Errorf("status %d, %v", status, err)
	}
	if received := s.server.largestBody.Load(); received != maxBodyBytes {
		s.t.Errorf("the server got %d bytes, want %d", received, maxBodyBytes)
	}
	s.answersOrdinary()
	s.gateway.staysWithin(smallestMachine)
}

// zeros is a reader without end.
type zeros struct{}

// Read implements io.Reader.
func (zeros) Read(target []byte) (int, error) {
	clear(target)
	return len(target), nil
}

// TestCallersAreAnsweredBesideRestingConnections guards against connections without progress that leave other callers
// without an answer: a refusal is one.
func TestCallersAreAnsweredBesideRestingConnections(t *testing.T) {
	newSite(t, restingPlaces).answersBesideResting(func(status int) bool {
		return status == http.StatusOK || status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
	})
}

// TestCallersAreServedBesideRestingConnections guards against connections without progress that take all places of
// other callers.
func TestCallersAreServedBesideRestingConnections(t *testing.T) {
	newSite(t, restingPlaces).answersBesideResting(func(status int) bool { return status == http.StatusOK })
}

// TestCallersAreServedBesideMoreRestingConnectionsThanDescriptors guards against connections without progress that take
// all descriptors of callers: those beyond them were closed at once, and no other one ever gave way.
func TestCallersAreServedBesideMoreRestingConnectionsThanDescriptors(t *testing.T) {
	newSite(t, restingDescriptors).answersBesideResting(func(status int) bool { return status == http.StatusOK })
}

// TestCallersAreServedBesideLargeBodies guards against a shortage of memory that leaves ordinary callers out.
func TestCallersAreServedBesideLargeBodies(t *testing.T) {
	s := newSite(t, "")
	s.servesBeside(newCrowd(t, s.callers, 24, bodyShort(16*mebibyte)))
}

// TestCallersAreServedBesideSlowReaders guards against a shortage of memory that leaves ordinary callers out.
func TestCallersAreServedBesideSlowReaders(t *testing.T) {
	s := newSite(t, "")
	s.servesBeside(newCrowd(t, s.callers, 24, slowReader(16*mebibyte)))
}

// servesBeside waits until an ordinary request is served while a crowd stays and comes again.
func (s *site) servesBeside(c *crowd) {
	s.t.Helper()
	c.again = true
	c.arrive()
	s.gateway.settles()
	s.answersOrdinary()
	c.leave()
	s.answersOrdinary()
}

// restingPlaces are settings with fewer places for connections than restingClients.
const (
	restingPlaces  = "max_connections: 200\n"
	restingClients = 300
	// restingDescriptors leave callers fewer connections than restingClients, and fewer than max_connections.
	restingDescriptors = "descriptor_limit: 400\n"
)

// answersBesideResting waits for an answer to an ordinary request while connections beyond max_connections rest.
func (s *site) answersBesideResting(wanted func(status int) bool) {
	s.t.Helper()
	c := newCrowd(s.t, s.callers, restingClients, bodyShort(10_000))
	c.again = true
	c.arrive()
	s.gateway.eventually("an ordinary request is answered beside resting connections", func() bool {
		status, err := s.send(strings.NewReader("ordinary"), int64(len("ordinary")))
		return err == nil && wanted(status)
	})
	c.leave()
	s.answersOrdinary()
	s.gateway.staysWithin(smallestMachine)
}
