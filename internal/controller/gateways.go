package controller

import (
	"slices"
	"sync"
)

// gatewayList holds the addresses at which the gateways connected to this controller serve the directory to
// other gateways. It is safe for concurrent use.
type gatewayList struct {
	mutex sync.Mutex
	// streams counts the open streams of each address.
	streams map[string]int
	// sortedAddresses holds the keys of streams in order.
	sortedAddresses []string
}

func newGatewayList() *gatewayList { return &gatewayList{streams: make(map[string]int)} }

// add registers a stream of a gateway; the returned function removes it.
func (g *gatewayList) add(address string) (remove func()) {
	if address == "" {
		return func() {}
	}
	g.addStreams(address, 1)
	return func() { g.addStreams(address, -1) }
}

func (g *gatewayList) addStreams(address string, delta int) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.streams[address] += delta
	if g.streams[address] <= 0 {
		delete(g.streams, address)
	}
	g.sortedAddresses = g.sortedAddresses[:0:0]
	for streamAddress := range g.streams {
		g.sortedAddresses = append(g.sortedAddresses, streamAddress)
	}
	slices.Sort(g.sortedAddresses)
}

// maxPeers bounds the number of peers named to one gateway: enough that one remains reachable when a third of
// the gateways are cut off with it.
const maxPeers = 4

// peersOf returns the gateways that a gateway may ask for the directory: its successors in the order of
// addresses, so that few gateways must be updated when one comes or goes.
func (g *gatewayList) peersOf(address string) []string {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if address == "" {
		return nil
	}
	start, _ := slices.BinarySearch(g.sortedAddresses, address)
	var peers []string
	for offset := range g.sortedAddresses {
		next := g.sortedAddresses[(start+offset)%len(g.sortedAddresses)]
		if next != address && len(peers) < maxPeers {
			peers = append(peers, next)
		}
	}
	return peers
}
