package crowd

import (
	"context"
	"encoding/binary"
	"net"
	"testing"

	"github.com/thorntiller/thorntiller/internal/message"
	"github.com/thorntiller/thorntiller/internal/wire"
)

// TestFramesThatStopShort guards against a gateway that runs out of memory by messages of its peers' port.
func TestFramesThatStopShort(t *testing.T) {
	s := newSite(t, "")
	s.outlasts(newCrowd(t, s.peers, 24, frameShort(16*mebibyte)))
}

// TestRelayedBodiesThatStopShort guards against a gateway that runs out of memory by relayed bodies with a length.
func TestRelayedBodiesThatStopShort(t *testing.T) {
	s := newSite(t, "")
	s.outlasts(newCrowd(t, s.peers, 24, relayed(s.cluster(), bodyShort(16*mebibyte))))
}

// TestRelayedChunkedBodiesThatStopShort guards against a gateway that runs out of memory by relayed bodies in chunks.
func TestRelayedChunkedBodiesThatStopShort(t *testing.T) {
	s := newSite(t, "")
	s.outlasts(newCrowd(t, s.peers, 24, relayed(s.cluster(), chunkedShort(16*mebibyte, 64<<10))))
}

// frameShort announces the largest frame and sends its first bytes.
func frameShort(length int) func(net.Conn, int) error {
	return func(connection net.Conn, _ int) error {
		if _, err := connection.Write(binary.BigEndian.AppendUint32(nil, wire.DefaultMaxFrameBytes)); err != nil {
			return err
		}
		return writeRepeated(connection, padding, length)
	}
}

// relayed introduces a client as a gateway that relays requests, and then lets it act.
func relayed(cluster message.ClusterID, act func(net.Conn, int) error) func(net.Conn, int) error {
	return func(connection net.Conn, number int) error {
		peer := wire.NewConn(connection, wire.Options{})
		if err := peer.Send(context.Background(), &message.Hello{Purpose: message.PurposeRelay, Cluster: cluster, From: "g2"}); err != nil {
			return err
		}
		var welcome message.RelayWelcome
		if err := peer.Receive(&welcome); err != nil {
			return err
		}
		return act(peer.Detach(), number)
	}
}

// cluster returns the identifier of the cluster, which the gateway tells its peers.
func (s *site) cluster() message.ClusterID {
	s.t.Helper()
	var update message.DirectoryUpdate
	s.gateway.eventually("the gateway tells a peer the cluster", func() bool {
		connection, err := wire.Dial(context.Background(), s.peers, wire.Options{})
		if err != nil {
			return false
		}
		defer connection.Close()
		if connection.Send(context.Background(), &message.Hello{Purpose: message.PurposeDirectory, From: "g2"}) != nil {
			return false
		}
		if connection.Send(context.Background(), &message.DirectoryRequest{Ping: 1}) != nil {
			return false
		}
		return connection.Receive(&update) == nil && update.Cluster != ""
	})
	return update.Cluster
}
