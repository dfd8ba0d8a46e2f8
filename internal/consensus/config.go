package consensus

import "github.com/rotisserie/eris"

// validate checks every field of the configuration.
func (config Config) validate() error {
	if config.ID == 0 {
		return eris.Wrap(ErrInvalidConfig, "ID is 0: give a replica identifier above 0")
	}
	positive := []struct {
		name  string
		value int
	}{
		{"HeartbeatTicks", config.HeartbeatTicks},
		{"MaxAppendBytes", config.MaxAppendBytes},
		{"MaxInflight", config.MaxInflight},
		{"MaxUncommittedBytes", config.MaxUncommittedBytes},
	}
	for _, field := range positive {
		if field.value <= 0 {
			return eris.Wrapf(ErrInvalidConfig, "%s is %d: give a value above 0", field.name, field.value)
		}
	}
	if config.ElectionTicks <= config.HeartbeatTicks {
		return eris.Wrapf(ErrInvalidConfig, "ElectionTicks is %d: give a value above HeartbeatTicks (%d)",
			config.ElectionTicks, config.HeartbeatTicks)
	}
	return nil
}

// validate checks that the recovered state is consistent.
func (initial InitialState) validate() error {
	if err := validateMembership(initial.Snapshot.Membership); err != nil {
		return err
	}
	if len(initial.Snapshot.Membership.Members) == 0 && (initial.Snapshot.Index > 0 || len(initial.Entries) > 0) {
		return eris.Wrap(ErrInvalidState, "Snapshot.Membership is empty but the log is not: restore the snapshot")
	}
	index, term := initial.Snapshot.Index, initial.Snapshot.Term
	for _, entry := range initial.Entries {
		if entry.Index != index+1 {
			return eris.Wrapf(ErrInvalidState, "Entries has index %d after %d: give entries without a gap", entry.Index, index)
		}
		if entry.Term < term {
			return eris.Wrapf(ErrInvalidState, "Entries has term %d after %d at index %d: terms never fall", entry.Term, term, entry.Index)
		}
		index, term = entry.Index, entry.Term
	}
	if initial.HardState.Commit > index {
		return eris.Wrapf(ErrLogLost, "HardState.Commit is %d, the last index is %d", initial.HardState.Commit, index)
	}
	if initial.HardState.Term < term {
		return eris.Wrapf(ErrInvalidState, "HardState.Term is %d below the log's last term %d: the hard state was lost",
			initial.HardState.Term, term)
	}
	return nil
}
