package state

// splitShards splits shards of services whose policy allows it. The parts keep
// owner and epoch, since the owner does not change yet.
func (tx *transaction) splitShards(command *SplitShards) Result {
	for _, part := range command.Parts {
		shard, found := tx.state.Shard(part.Shard)
		if found && tx.canSplit(shard, part) {
			tx.splitOut(shard, part.Range)
			tx.setPartTarget(shard.Service, part)
		}
	}
	return Result{}
}

func (tx *transaction) canSplit(shard Shard, part ShardPart) bool {
	service, found := tx.state.Service(shard.Service)
	if !found || service.Mode == ModeObserved || !service.Placement.Automatic {
		return false
	}
	if shard.Phase != ShardOwned || shard.Target != "" || shard.Epoch != part.Epoch {
		return false
	}
	if part.To != "" && (part.To == shard.Owner || !tx.canBeTarget(part.To, shard.Service)) {
		return false
	}
	inside := shard.Range.First <= part.Range.First && part.Range.First <= part.Range.Last && part.Range.Last <= shard.Range.Last
	return inside && part.Range != shard.Range
}

// splitOut splits a shard so that the given part of its range becomes a separate shard.
func (tx *transaction) splitOut(whole Shard, part KeyRange) {
	if whole.Range.First < part.First {
		tx.splitAt(whole.Service, part.First)
	}
	if part.Last < whole.Range.Last {
		tx.splitAt(whole.Service, part.Last+1)
	}
}

// canBeTarget reports whether a server belongs to the service and can be the target of a move.
func (tx *transaction) canBeTarget(id ServerID, service ServiceName) bool {
	server, found := tx.state.Server(id)
	return found && server.Service == service && server.Session.Open && server.Intent == ServerActive
}

// setPartTarget sets the target of the shard that was split off, if the part names one.
func (tx *transaction) setPartTarget(service ServiceName, part ShardPart) {
	shard, found := tx.state.ShardAt(service, part.Range.First)
	if found && part.To != "" {
		shard.Target = part.To
		tx.putShard(shard)
	}
}
