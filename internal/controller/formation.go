package controller

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"github.com/thorntiller/thorntiller/internal/clock"
	"github.com/thorntiller/thorntiller/internal/config"
	"github.com/thorntiller/thorntiller/internal/consensus"
	"github.com/thorntiller/thorntiller/internal/durable"
	"github.com/thorntiller/thorntiller/internal/identity"
	"github.com/thorntiller/thorntiller/internal/message"
	"github.com/thorntiller/thorntiller/internal/startup"
	"github.com/thorntiller/thorntiller/internal/telemetry"
	"github.com/thorntiller/thorntiller/internal/wire"
)

const (
	formationInterval = 200 * time.Millisecond
	formationTimeout  = 500 * time.Millisecond
)

// formation brings a replica that belongs to no group into one.
//
// A new group forms only when every configured controller answers and none belongs to a group; the first one
// by name then writes the founders to disk, and the others copy them from it. If any controller already
// belongs to a group, this replica joins that group: as a founder if its identifier is among the founders,
// otherwise as a new replica under its new identifier. A replica whose disk was lost therefore never acts
// under its former identity.
type formation struct {
	settings config.Controller
	log      *logrus.Entry
	// progress is told which controllers answer.
	progress *startup.Progress
	dial     wire.DialFunc
	save     func(identity.Identity) error
	// reload reads the settings again; nil if they do not change.
	reload func() (config.Controller, error)

	mutex  sync.Mutex
	self   consensus.Member
	own    identity.Identity
	status func() (current []consensus.Member, leader string)
	join   func(consensus.Member)
	// learned holds the members of the group from the latest answer that listed them.
	learned []consensus.Member
	// changedSeeds holds the seeds of the settings as they were last read, if they differ from those of the start.
	changedSeeds []string
}

func (f *formation) identity() identity.Identity {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.own
}

// attach makes formation answers include the state of the running replica.
func (f *formation) attach(status func() ([]consensus.Member, string), join func(consensus.Member)) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.status = status
	f.join = join
}

// run asks the other controllers until this replica belongs to a group.
func (f *formation) run(ctx context.Context) error {
	ticker := time.NewTicker(formationInterval)
	defer ticker.Stop()
	for f.identity().Cluster == "" {
		if err := f.attempt(ctx); err != nil {
			return err
		}
		if f.identity().Cluster != "" {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}

func (f *formation) attempt(ctx context.Context) error {
	answers := f.askAll(ctx)
	next, decided := durable.Formation{
		Own: f.identity(), Member: f.self, First: f.isFirst(answers), Others: len(f.configuredPeers()), Answers: answers,
	}.Decide(func() message.ClusterID { return message.ClusterID(uuid.NewString()) })
	if !decided {
		return nil
	}
	if err := f.setIdentity(next); err != nil {
		return err
	}
	f.logFormation(next, answers)
	return nil
}

// logFormation logs whether the replica formed its group or joined it.
func (f *formation) logFormation(adopted identity.Identity, answers []message.FormationAnswer) {
	joined := slices.ContainsFunc(answers, func(answer message.FormationAnswer) bool { return answer.Cluster == adopted.Cluster })
	if !joined {
		telemetry.With(f.log, telemetry.EventGroupFormed).WithField("cluster", adopted.Cluster).Info("formed a new group")
		return
	}
	telemetry.With(f.log, telemetry.EventGroupJoined).WithField("cluster", adopted.Cluster).
		WithField("founder", isFounder(adopted)).Info("joined a group")
}

func isFounder(joined identity.Identity) bool {
	return slices.ContainsFunc(joined.Founders, func(member consensus.Member) bool { return member.ID == joined.Replica })
}

// isFirst reports whether this replica is the one that forms a new group: the first by name of the configured
// controllers or, with seeds, the first by address of the seeds that may form one.
func (f *formation) isFirst(answers []message.FormationAnswer) bool {
	if len(f.settings.Seeds) == 0 {
		return !slices.ContainsFunc(f.settings.Controllers, func(peer config.ControllerPeer) bool {
			return peer.Name < f.settings.Name
		})
	}
	if !f.identity().MayFound || !slices.Contains(f.seeds(), f.settings.PeerAddress) {
		return false
	}
	return !slices.ContainsFunc(answers, func(answer message.FormationAnswer) bool {
		return answer.MayFound && answer.Member.Address < f.settings.PeerAddress
	})
}

// seeds returns the peer addresses of the seeds that the settings had at the start.
func (f *formation) seeds() []string { return f.peerAddresses(f.settings.Seeds) }

// peerAddresses returns the peer addresses of seeds, whose ports are those of their APIs.
func (f *formation) peerAddresses(seeds []string) []string {
	_, port, err := net.SplitHostPort(f.settings.PeerAddress)
	if err != nil {
		return nil
	}
	addresses := make([]string, 0, len(seeds))
	for _, seed := range seeds {
		host, _, err := net.SplitHostPort(seed)
		if address := net.JoinHostPort(host, port); err == nil && !slices.Contains(addresses, address) {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// configuredPeers returns the peer addresses of the other controllers in the settings.
func (f *formation) configuredPeers() []string {
	addresses := f.seeds()
	for _, peer := range f.settings.Controllers {
		if peer.Name != f.settings.Name {
			addresses = append(addresses, peer.PeerAddress)
		}
	}
	return slices.DeleteFunc(addresses, func(address string) bool { return address == f.settings.PeerAddress })
}

// addresses returns the peer addresses to ask: those of the configured controllers, of the members learned
// from them, and of seeds that were added to the settings since the start.
func (f *formation) addresses() []string {
	addresses := f.configuredPeers()
	f.mutex.Lock()
	defer f.mutex.Unlock()
	further := f.peerAddresses(f.changedSeeds)
	for _, member := range f.learned {
		further = append(further, member.Address)
	}
	for _, address := range further {
		if address != f.settings.PeerAddress && !slices.Contains(addresses, address) {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// reloadSeeds reads the seeds again, since those of the start may all have been replaced. A replica that may form a group
// keeps to those of the start: all of them have to agree on who forms it.
func (f *formation) reloadSeeds() {
	own := f.identity()
	if f.reload == nil || len(f.settings.Seeds) == 0 || own.MayFound && own.Cluster == "" {
		return
	}
	fresh, err := f.reload()
	if err != nil {
		return // the check at SIGHUP logs it
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if slices.Equal(fresh.Seeds, f.changedSeeds) || f.changedSeeds == nil && slices.Equal(fresh.Seeds, f.settings.Seeds) {
		return
	}
	f.changedSeeds = fresh.Seeds
	telemetry.With(f.log, telemetry.EventSettingsReloaded).WithField("seeds", fresh.Seeds).Info("seeds changed")
}

// learn stores the members of the group that an answer lists.
func (f *formation) learn(answer message.FormationAnswer) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if len(answer.Current) > 0 {
		f.learned = answer.Current
	}
}

// member returns a member learned from other replicas. A joining replica knows only the founders from its own
// log until a leader has sent it the rest, and must be able to answer that leader.
func (f *formation) member(id consensus.ReplicaID) (consensus.Member, bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return memberByID(consensus.Membership{Members: f.learned}, id)
}

// setIdentity makes the identity durable before it is sent to anyone.
func (f *formation) setIdentity(next identity.Identity) error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if err := f.save(next); err != nil {
		return err
	}
	f.own = next
	return nil
}

// askAll asks every other known controller and returns the answers.
func (f *formation) askAll(ctx context.Context) []message.FormationAnswer {
	f.reloadSeeds()
	var group conc.WaitGroup
	var mutex sync.Mutex
	var answers []message.FormationAnswer
	for _, address := range f.addresses() {
		group.Go(func() {
			answer, err := f.ask(ctx, address)
			if err != nil {
				f.recordFailure(ctx, address, err)
				return
			}
			f.progress.LogAnswered(address)
			f.learn(answer)
			mutex.Lock()
			defer mutex.Unlock()
			answers = append(answers, answer)
		})
	}
	group.Wait()
	return answers
}

// recordFailure logs the first failure of a controller, unless this process stops.
func (f *formation) recordFailure(ctx context.Context, address string, err error) {
	if ctx.Err() == nil && f.progress.Failed(address, err) {
		telemetry.WithError(f.log, telemetry.EventControllerLost, err).WithField(telemetry.FieldAddress, address).
			Info("another controller does not answer")
	}
}

func (f *formation) ask(ctx context.Context, address string) (message.FormationAnswer, error) {
	var answer message.FormationAnswer
	ctx, cancel := context.WithTimeout(ctx, formationTimeout)
	defer cancel()
	connection, err := wire.Dial(ctx, address, wire.Options{
		IdleTimeout: formationTimeout, WriteTimeout: formationTimeout, Dial: f.dial,
	})
	if err != nil {
		return answer, err
	}
	defer connection.Close()
	if err := connection.Send(ctx, &message.Hello{Purpose: message.PurposeFormation, From: f.settings.Name}); err != nil {
		return answer, err
	}
	if err := connection.Send(ctx, &message.FormationRequest{Member: f.self, Cluster: f.identity().Cluster}); err != nil {
		return answer, err
	}
	err = connection.Receive(&answer)
	return answer, err
}

// serve answers one formation request.
func (f *formation) serve(ctx context.Context, connection *wire.Conn) error {
	var request message.FormationRequest
	if err := connection.ReceiveShort(&request); err != nil {
		return err
	}
	f.mutex.Lock()
	answer := message.FormationAnswer{Member: f.self, Cluster: f.own.Cluster, Founders: f.own.Founders, MayFound: f.own.MayFound}
	status, join := f.status, f.join
	f.mutex.Unlock()
	if status != nil {
		answer.Current, answer.Leader = status()
	}
	if join != nil && request.Cluster != "" && request.Cluster == answer.Cluster {
		join(request.Member)
	}
	return connection.Send(ctx, &answer)
}

// keepJoining asks to be added to the group for as long as this replica is not one of its voters or knows no
// leader: it may have been removed in the meantime.
func (f *formation) keepJoining(ctx context.Context, isActiveVoter func() bool) {
	clock.Every(ctx, formationInterval, func() {
		if isActiveVoter() {
			f.progress.Dependencies.Forget()
			return
		}
		f.askAll(ctx)
	})
}
