package faultproxy

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/Shopify/toxiproxy/v2"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
)

// Anyone is the dialing process of links that many processes share.
const Anyone = "anyone"

// removeTimeout bounds the wait for one fault to be lifted.
const removeTimeout = 2 * time.Second

// Link names the connections that one process makes to another.
type Link struct {
	From string
	To   string
}

// Network holds the proxies of one run. It is safe for concurrent use.
type Network struct {
	server *toxiproxy.ApiServer
	mutex  sync.Mutex
	links  map[Link]*toxiproxy.Proxy
}

// New returns a network without links.
func New() *Network {
	metrics := toxiproxy.NewMetricsContainer(prometheus.NewRegistry())
	return &Network{
		server: toxiproxy.NewServer(metrics, zerolog.Nop()),
		links:  make(map[Link]*toxiproxy.Proxy),
	}
}

// Address returns the address, IP:port, by which one process reaches another
// through the network. The first call for a link starts its proxy.
func (n *Network) Address(from, to, address string) (string, error) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	link := Link{From: from, To: to}
	if proxy, found := n.links[link]; found {
		return proxy.Listen, nil
	}
	proxy := toxiproxy.NewProxy(n.server, from+" to "+to, "127.0.0.1:0", address)
	if err := proxy.Start(); err != nil {
		return "", eris.Wrapf(err, "start the proxy from %s to %s", from, to)
	}
	n.links[link] = proxy
	return proxy.Listen, nil
}

// Add puts a fault on each link that the selector picks. A link that has it
// already, as one between two processes that are both cut off, keeps it. Add
// fails when no link was picked.
func (n *Network) Add(toxic Toxic, selects func(Link) bool) error {
	encoded, err := json.Marshal(toxic)
	if err != nil {
		return eris.Wrap(err, "encode a fault")
	}
	picked := n.pick(selects)
	if len(picked) == 0 {
		return eris.Errorf("the fault %s acts on no link", toxic.Name)
	}
	for _, proxy := range picked {
		if proxy.Toxics.GetToxic(toxic.Name) != nil {
			continue
		}
		if _, err := proxy.Toxics.AddToxicJson(bytes.NewReader(encoded)); err != nil {
			return eris.Wrapf(err, "add the fault %s", toxic.Name)
		}
	}
	return nil
}

// Remove lifts a fault from the links that have it.
func (n *Network) Remove(name string) error {
	ctx, cancel := context.WithTimeout(context.Background(), removeTimeout)
	defer cancel()
	for _, proxy := range n.pick(func(Link) bool { return true }) {
		if proxy.Toxics.GetToxic(name) == nil {
			continue
		}
		if err := proxy.Toxics.RemoveToxic(ctx, name); err != nil {
			return eris.Wrapf(err, "lift the fault %s", name)
		}
	}
	return nil
}

// Heal lifts every fault.
func (n *Network) Heal() {
	ctx, cancel := context.WithTimeout(context.Background(), removeTimeout)
	defer cancel()
	for _, proxy := range n.pick(func(Link) bool { return true }) {
		proxy.Toxics.ResetToxics(ctx)
	}
}

// CutSending drops in silence all that a process sends over its links.
func (n *Network) CutSending(process string) error {
	return n.cut(process, Upstream, Downstream)
}

// CutReceiving drops in silence all that a process is sent over its links.
func (n *Network) CutReceiving(process string) error {
	return n.cut(process, Downstream, Upstream)
}

// CutOff drops in silence all that a process sends and is sent.
func (n *Network) CutOff(process string) error {
	if err := n.CutSending(process); err != nil {
		return err
	}
	return n.CutReceiving(process)
}

// cut silences one direction of the links that the process dials and one of
// those that it accepts.
func (n *Network) cut(process string, dialing, accepting Direction) error {
	from := func(link Link) bool { return link.From == process }
	to := func(link Link) bool { return link.To == process }
	if len(n.pick(from)) == 0 && len(n.pick(to)) == 0 {
		return eris.Errorf("no link belongs to %q", process)
	}
	if len(n.pick(from)) > 0 {
		if err := n.Add(Silence(dialing), from); err != nil {
			return err
		}
	}
	if len(n.pick(to)) > 0 {
		return n.Add(Silence(accepting), to)
	}
	return nil
}

// Down lets the connections that a process would accept be refused, as those to
// a process that has ended.
func (n *Network) Down(process string) {
	for _, proxy := range n.pick(func(link Link) bool { return link.To == process }) {
		proxy.Stop()
	}
}

// Up undoes every Down.
func (n *Network) Up() error {
	for _, proxy := range n.pick(func(Link) bool { return true }) {
		err := proxy.Start()
		if err != nil && !errors.Is(err, toxiproxy.ErrProxyAlreadyStarted) {
			return eris.Wrapf(err, "start the proxy at %s again", proxy.Listen)
		}
	}
	return nil
}

func (n *Network) pick(selects func(Link) bool) []*toxiproxy.Proxy {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	var picked []*toxiproxy.Proxy
	for link, proxy := range n.links {
		if selects(link) {
			picked = append(picked, proxy)
		}
	}
	return picked
}

// Close stops every proxy and its connections.
func (n *Network) Close() {
	for _, proxy := range n.pick(func(Link) bool { return true }) {
		proxy.Stop()
	}
}
