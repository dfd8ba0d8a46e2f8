package records

import (
	"context"
	"errors"

	"github.com/thorntiller/thorntiller/internal/message"
	"github.com/thorntiller/thorntiller/internal/record"
	"github.com/thorntiller/thorntiller/internal/wire"
)

// Claim asks the key's primary for the right to run a request. It also returns true if
// the claim may have been recorded although no answer says so. The caller must then
// claim again or release the claim by a completion.
func (s *Service) Claim(ctx context.Context, claim record.Claim) (message.RecordAnswer, bool) {
	answer, err := s.callPrimary(ctx, claim.Key, message.RecordCall{Claim: &claim})
	if err != nil {
		return message.RecordAnswer{Verdict: record.NotPrimary}, !errors.Is(err, wire.ErrNotSent)
	}
	return answer, answer.Verdict == record.NotStored
}

// Complete reports to the key's primary how an attempt ended. It returns false if the
// completion must be resent.
func (s *Service) Complete(ctx context.Context, completion record.Completion) bool {
	answer, err := s.callPrimary(ctx, completion.Claim.Key, message.RecordCall{Completion: &completion})
	if err != nil {
		return false
	}
	return answer.Verdict != record.NotPrimary && answer.Verdict != record.NotStored
}

// callPrimary sends a call to the key's primary, which may be this router.
func (s *Service) callPrimary(ctx context.Context, key record.Key, call message.RecordCall) (message.RecordAnswer, error) {
	notPrimary := message.RecordAnswer{Verdict: record.NotPrimary}
	view := s.options.View()
	if view.Partitions() == 0 {
		return notPrimary, nil
	}
	call.Partition = key.Partition(view.Partitions())
	placed, found := view.Partition(call.Partition)
	if !found {
		return notPrimary, nil
	}
	if placed.Primary == s.options.Self.ID {
		return *s.handle(ctx, &call), nil
	}
	primary, found := view.Router(placed.Primary)
	if !found || primary.Session.Number != placed.PrimarySession {
		return notPrimary, nil
	}
	client, err := s.peers.client(primary, purposeClaim)
	if err != nil {
		return notPrimary, nil
	}
	ctx, cancel := context.WithTimeout(ctx, s.options.Settings.PeerTimeout)
	defer cancel()
	var answer message.RecordAnswer
	return answer, client.Call(ctx, &call, &answer)
}
