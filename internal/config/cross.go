package config

import (
	"fmt"
	"net/url"
	"os"
	"path/filepath"
	"time"

	"golang.org/x/sys/unix"
)

// renewalsPerLease is how many renewals must fit into a lease, so that one lost
// message does not end it.
const renewalsPerLease = 3

// pingsPerLease is how many pings of a router must fit into its lease, so that one
// lost ping does not end it.
const pingsPerLease = 3

// pingsPerStaleness is how many pings must fit into the staleness limit.
const pingsPerStaleness = 3

// controller checks what concerns more than one field of a controller.
func (r *report) controller(settings Controller) {
	if len(r.lines) == 0 {
		// The file could not be read as settings at all.
		return
	}
	r.group(settings)
	r.consensus(settings.Consensus)
	r.lease(settings.Lease)
	if longest := settings.Heartbeat.MaxLease; longest > 0 && longest < settings.Heartbeat.EffectiveLease() {
		r.add("heartbeat.max_lease", longest.String(), "is below the lease that is granted",
			fmt.Sprintf("use at least %s, or 0s", settings.Heartbeat.EffectiveLease()))
	}
	if settings.Heartbeat.HoldBack >= settings.Heartbeat.AnswerTimeout {
		r.add("heartbeat.hold_back", settings.Heartbeat.HoldBack.String(), "must be below heartbeat.answer_timeout",
			"use a shorter time, or 0s to answer each heartbeat at once")
	}
	r.directory(settings.DataDirectory)
	r.tls(settings.TLS, settings.AllowNonLoopback)
	r.operators(settings.API.Operators, settings.TLS.Enabled())
	if !settings.AllowNonLoopback {
		r.loopback("peer_address", settings.PeerAddress)
		r.loopback("api_address", settings.APIAddress)
		for index, peer := range settings.Controllers {
			r.loopback(fmt.Sprintf("controllers[%d].peer_address", index), peer.PeerAddress)
			r.loopback(fmt.Sprintf("controllers[%d].api_address", index), peer.APIAddress)
		}
		if parsed, err := url.Parse(settings.Platform.URL); err == nil && parsed.Host != "" {
			r.loopback("platform.url", parsed.Host)
		}
	}
}

// router checks what concerns more than one field of a router.
func (r *report) router(settings Router) {
	if len(r.lines) == 0 {
		return
	}
	addresses := newClashes(r)
	addresses.take("address", settings.Address)
	addresses.take("peer_address", settings.PeerAddress)
	addresses.take("admin_address", settings.AdminAddress)
	for index, controller := range settings.Controllers {
		addresses.take(fmt.Sprintf("controllers[%d]", index), controller)
	}
	if settings.StalenessLimit < pingsPerStaleness*settings.PingInterval {
		r.add("staleness_limit", settings.StalenessLimit.String(), fmt.Sprintf("is shorter than %d pings", pingsPerStaleness),
			fmt.Sprintf("use at least %s, or a shorter ping_interval", pingsPerStaleness*settings.PingInterval))
	}
	if settings.Retry.BackoffMax < settings.Retry.BackoffBase {
		r.add("retry.backoff_max", settings.Retry.BackoffMax.String(), "is below retry.backoff_base",
			fmt.Sprintf("use at least %s", settings.Retry.BackoffBase))
	}
	r.tls(settings.TLS, settings.AllowNonLoopback)
	if settings.AllowNonLoopback {
		return
	}
	r.loopback("address", settings.Address)
	r.loopback("peer_address", settings.PeerAddress)
	r.loopback("advertised_peer_address", settings.AdvertisedPeer)
	r.loopback("admin_address", settings.AdminAddress)
	for index, controller := range settings.Controllers {
		r.loopback(fmt.Sprintf("controllers[%d]", index), controller)
	}
}

// group checks the configured group of controllers.
func (r *report) group(settings Controller) {
	if len(settings.Seeds) > 0 {
		r.seeds(settings)
		return
	}
	count := len(settings.Controllers)
	if count == 0 {
		r.add("controllers", "", "is missing", "list the replicas of the group, or give seeds")
		return
	}
	if count > 0 && count%2 == 0 {
		r.add("controllers", fmt.Sprint(count), "an even number of controllers tolerates no more losses than one fewer", "use 1, 3 or 5 controllers")
	}
	addresses := newClashes(r)
	names := newClashes(r)
	own := -1
	for index, peer := range settings.Controllers {
		prefix := fmt.Sprintf("controllers[%d].", index)
		names.take(prefix+"name", peer.Name)
		addresses.take(prefix+"peer_address", peer.PeerAddress)
		addresses.take(prefix+"api_address", peer.APIAddress)
		if own < 0 && peer.Name == settings.Name {
			own = index
		}
	}
	if own < 0 {
		r.add("name", settings.Name, "is not among controllers", "add an entry with this name to controllers, or correct the name")
		return
	}
	peer := settings.Controllers[own]
	r.same("peer_address", settings.PeerAddress, peer.PeerAddress, own)
	r.same("api_address", settings.APIAddress, peer.APIAddress, own)
}

// seeds checks that a group is found by seeds alone.
func (r *report) seeds(settings Controller) {
	if len(settings.Controllers) > 0 {
		r.add("seeds", "", "is given beside controllers", "keep one of the two")
	}
}

// same checks that the replica listens where its entry of the group says.
func (r *report) same(field, value, listed string, index int) {
	if value == listed || r.has(field) {
		return
	}
	entry := fmt.Sprintf("controllers[%d].%s", index, field)
	if r.has(entry) {
		return
	}
	r.add(field, value, "differs from "+entry, fmt.Sprintf("use %s in both places", listed))
}

func (r *report) consensus(settings Consensus) {
	if settings.ElectionTicks <= settings.HeartbeatTicks {
		r.add("consensus.election_ticks", fmt.Sprint(settings.ElectionTicks), "must be above consensus.heartbeat_ticks",
			fmt.Sprintf("use at least %d", 2*settings.HeartbeatTicks))
	}
}

func (r *report) lease(settings Lease) {
	shortest := renewalsPerLease * settings.RenewInterval
	if settings.Duration < shortest {
		r.add("lease.duration", settings.Duration.String(), fmt.Sprintf("is shorter than %d renewals", renewalsPerLease),
			fmt.Sprintf("use at least %s, or a shorter lease.renew_interval", shortest))
	}
	if settings.RequestTimeout >= settings.Duration {
		r.add("lease.request_timeout", settings.RequestTimeout.String(), "must be below lease.duration",
			fmt.Sprintf("use less than %s", settings.Duration.Round(time.Millisecond)))
	}
}

func (r *report) loopback(field, value string) {
	if isLoopback(value) {
		return
	}
	r.add(field, value, "is beyond the loopback interface", "use an address such as 127.0.0.1, or set allow_non_loopback: true")
}

// directory checks that the data folder can be written, or made.
func (r *report) directory(path string) {
	if path == "" {
		return
	}
	existing := filepath.Clean(path)
	information, err := os.Stat(existing)
	for os.IsNotExist(err) && existing != filepath.Dir(existing) {
		existing = filepath.Dir(existing)
		information, err = os.Stat(existing)
	}
	switch {
	case err != nil:
		r.add("data_directory", path, "cannot be used: "+err.Error(), "name a folder that this user may write")
	case !information.IsDir():
		r.add("data_directory", path, existing+" is no folder", "name a folder, or remove the file")
	case unix.Access(existing, unix.W_OK|unix.X_OK) != nil:
		r.add("data_directory", path, existing+" cannot be written", "give this user the right to write there, or name another folder")
	}
}

// clashes finds values that stand in two fields.
type clashes struct {
	report *report
	fields map[string]string
}

func newClashes(report *report) *clashes {
	return &clashes{report: report, fields: map[string]string{}}
}

func (c *clashes) take(field, value string) {
	if value == "" {
		return
	}
	earlier, taken := c.fields[value]
	if taken {
		c.report.add(field, value, "is the same as "+earlier, "give each its own")
		return
	}
	c.fields[value] = field
}
