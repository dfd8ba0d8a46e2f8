package telemetry

// Event is the event name of a log line. The list is closed and documented in docs/LOGS.md.
type Event string

// EventRow describes one event for docs/LOGS.md.
type EventRow struct {
	Event Event
	// Level is the level at which the event is written.
	Level string
	// Meaning is the description for operators.
	Meaning string
}

// Events that all processes log.
const (
	EventStarted   Event = "started"
	EventStopping  Event = "stopping"
	EventStopped   Event = "stopped"
	EventListening Event = "listening"
	EventStartStep Event = "start_step"
	// EventNotReady is logged at growing intervals while the process is not ready.
	EventNotReady   Event = "not_ready"
	EventReadyAgain Event = "ready_again"
	EventFailed     Event = "failed"
	// EventSettingsWaiting is logged once while the settings file is missing or not valid.
	EventSettingsWaiting Event = "settings_waiting"
	// EventListenWaiting is logged while an address cannot be taken.
	EventListenWaiting Event = "listen_waiting"
	// EventAcceptWaiting is logged while connections cannot be accepted.
	EventAcceptWaiting Event = "accept_waiting"

	EventSuspended    Event = "machine_suspended"
	EventPanicked     Event = "panicked"
	EventLinesDropped Event = "log_lines_dropped"

	EventCertificateRenewed Event = "certificate_renewed"
	EventCertificateFailed  Event = "certificate_failed"
)

// Events that the controllers log.
const (
	EventGroupFormed       Event = "group_formed"
	EventGroupJoined       Event = "group_joined"
	EventDataFolderWaiting Event = "data_folder_waiting"
	EventRecovered         Event = "recovered"
	EventLeaderElected     Event = "leader_elected"
	EventLeaderLost        Event = "leader_lost"
	EventLeaderHeldUp      Event = "leader_held_up"
	EventLeaderTransferred Event = "leader_transferred"
	EventMemberChanged     Event = "member_changed"
	EventSnapshotTaken     Event = "snapshot_taken"
	EventSnapshotReceived  Event = "snapshot_received"
	EventDiskFailed        Event = "disk_failed"
	EventDiskFull          Event = "disk_full"
	EventNoDescriptor      Event = "no_descriptor"
	EventPlanStored        Event = "plan_stored"
	EventPlanConfirmed     Event = "plan_confirmed"
	EventPlanRefused       Event = "plan_refused"
	EventSessionOpened     Event = "session_opened"
	EventSessionClosed     Event = "session_closed"
	EventShardRevoked      Event = "shard_revoked"
	EventShardReleased     Event = "shard_released"
	EventShardMerged       Event = "shard_merged"
	EventShardAssigned     Event = "shard_assigned"
	EventServerLeaving     Event = "server_leaving"
	EventServerRetired     Event = "server_retired"
	EventPlatformFailed    Event = "platform_failed"
	EventRouterJoined      Event = "router_joined"
	EventRouterClosed      Event = "router_closed"
	EventPartitionsMoved   Event = "partitions_moved"
	EventRouterCutOff      Event = "router_cut_off"
	EventRouterMet         Event = "router_met"
	EventSettingsMismatch  Event = "settings_mismatch"
	EventDirectoryChanged  Event = "directory_changed"
	EventControlLoad       Event = "control_load"
	EventCallRefused       Event = "call_refused"
	EventQuarantine        Event = "quarantine"
)

// Events that the routers log.
const (
	EventTableSnapshot     Event = "table_snapshot"
	EventTableDigest       Event = "table_digest_mismatch"
	EventTableStale        Event = "table_stale"
	EventTableCurrent      Event = "table_current"
	EventControllerLost    Event = "controller_lost"
	EventControllerReached Event = "controller_reached"
	EventItemsInForce      Event = "items_in_force"
	EventServerEjected     Event = "server_ejected"
	EventServerCrashed     Event = "server_crashed"
	EventServersUnreached  Event = "servers_unreachable"
	EventServersReached    Event = "servers_reached"
	EventCrashUnproven     Event = "crash_unproven"
	EventRelayFailed       Event = "relay_failed"
	EventAnswerCut         Event = "answer_cut"
	EventServerReadmitted  Event = "server_readmitted"
	EventServerDraining    Event = "server_draining"
	EventAnswerMismatched  Event = "answer_mismatched"
	EventBackupLost        Event = "backup_lost"
	EventBackupSynced      Event = "backup_synced"
	EventPrimaryBegan      Event = "primary_began"
	EventPrimaryEnded      Event = "primary_ended"
	EventPeerUnreachable   Event = "peer_unreachable"
	EventPeerReached       Event = "peer_reached"
	EventRequestOutcomeBad Event = "request_outcome_unknown"
	EventRequestEnded      Event = "request_ended"
	EventRequestMalformed  Event = "request_malformed"
	EventRequestRefused    Event = "request_refused"
	EventConnectionFailed  Event = "connection_failed"
	EventSettingsReloaded  Event = "settings_reloaded"
	EventLinkBytes         Event = "link_bytes"
	EventRestingClosed     Event = "resting_closed"
	EventServerLimit       Event = "server_limit"
	EventServerRest        Event = "server_rest"
	EventServerSaysLeaving Event = "server_says_leaving"
	EventServerUnreadable  Event = "server_header_unreadable"
)

const (
	levelInfo    = "info"
	levelWarning = "warning"
	levelError   = "error"
)

// Events returns every event with its level and meaning, in the order of
// docs/LOGS.md.
func Events() []EventRow {
	return append(append(commonEvents(), controllerEvents()...), routerEvents()...)
}

func commonEvents() []EventRow {
	return []EventRow{
		{EventStarted, levelInfo, "The process has its settings, handles signals and begins; process_age_ms tells how long after the kernel started it, to 10 ms."},
		{EventListening, levelInfo, "A listener accepts connections."},
		{EventStartStep, levelInfo, "The start has come to a step, the last of which is ready; process_age_ms tells how long after the kernel started the process."},
		{EventNotReady, levelWarning, "The process is not ready for 2 s, and then at intervals that double up to 1 min: reason tells why, attempts the addresses that do not answer and with which error, duration_ms since when."},
		{EventReadyAgain, levelInfo, "The process is ready again after a line not_ready."},
		{EventSettingsWaiting, levelWarning, "The settings file is missing or not valid, and may be being written; the process ends if it stays so for 3 s. Or a read of it does not end, which the process waits for."},
		{EventListenWaiting, levelWarning, "An address cannot be taken yet, since another process holds it, the machine does not have it, or no file descriptor is left; the process tries again."},
		{EventAcceptWaiting, levelWarning, "A connection cannot be accepted for lack of file descriptors or memory; the process tries again. Told once in 10 s."},
		{EventStopping, levelInfo, "A graceful stop began."},
		{EventStopped, levelInfo, "The process finished its graceful stop."},
		{EventFailed, levelError, "The process cannot go on, and ends with exit_status. A process whose log ends without this line or stopped was killed."},
		{EventSuspended, levelWarning, "The machine was suspended and goes on; duration_ms tells for how long. What was decided before it is checked anew before it is acted on."},
		{EventPanicked, levelError, "A request met a defect of this program, which goes on; the stack tells where. Report it."},
		{EventLinesDropped, levelWarning, "Log lines found their queue full, or could not be written, and were dropped."},
		{EventCertificateRenewed, levelInfo, "Replaced certificate files were read and are in use."},
		{EventCertificateFailed, levelWarning, "Replaced certificate files cannot be used; the earlier ones stay in use."},
	}
}

func controllerEvents() []EventRow {
	return []EventRow{
		{EventGroupFormed, levelInfo, "The controllers formed a new group."},
		{EventGroupJoined, levelInfo, "This replica joined a group that was formed before."},
		{EventDataFolderWaiting, levelWarning, "Another process holds the data folder, most likely the former one of this replica, or no file descriptor is left; this process waits."},
		{EventRecovered, levelInfo, "The state was read back from the data folder."},
		{EventLeaderElected, levelInfo, "This replica leads."},
		{EventLeaderLost, levelWarning, "This replica lost the leadership."},
		{EventLeaderHeldUp, levelWarning, "A step of this replica, which leads, takes longer than an election, most likely for its disk; callers are sent away."},
		{EventLeaderTransferred, levelInfo, "The leadership was handed over on request."},
		{EventMemberChanged, levelInfo, "A replica was added, promoted or removed."},
		{EventSnapshotTaken, levelInfo, "A snapshot was taken and the log cut."},
		{EventSnapshotReceived, levelInfo, "A snapshot of the leader replaced the state."},
		{EventDiskFailed, levelError, "A write or sync failed, or a file is damaged; the replica stops."},
		{EventDiskFull, levelWarning, "The disk takes no more bytes; the replica is out of its group until there is room."},
		{EventNoDescriptor, levelWarning, "A file of the replica cannot be opened, since no file descriptor is left; the replica closes its connections and starts again once files can be opened."},
		{EventPlanStored, levelInfo, "An intent was answered with a plan."},
		{EventPlanConfirmed, levelInfo, "An operator confirmed a plan; it is in force from this revision."},
		{EventPlanRefused, levelInfo, "A plan or its confirmation was refused."},
		{EventSessionOpened, levelInfo, "A server process may hold leases from now on."},
		{EventSessionClosed, levelWarning, "A server's lease surely ended; its shards are without an owner."},
		{EventShardRevoked, levelInfo, "A shard is being taken from its owner."},
		{EventShardReleased, levelInfo, "The owner gave up a shard."},
		{EventShardAssigned, levelInfo, "A shard has a new owner and epoch."},
		{EventShardMerged, levelInfo, "The controllers merged neighbouring shards of one owner."},
		{EventServerLeaving, levelInfo, "The platform's list says that a machine leaves, or no longer does."},
		{EventServerRetired, levelInfo, "A retiring server holds no shard any more."},
		{EventPlatformFailed, levelWarning, "The platform's list cannot be read."},
		{EventRouterJoined, levelInfo, "A router has a session."},
		{EventRouterClosed, levelInfo, "A router's session ended."},
		{EventPartitionsMoved, levelInfo, "Record partitions have other routers."},
		{EventRouterCutOff, levelWarning, "Most other routers do not reach a router; its record partitions move."},
		{EventSettingsMismatch, levelWarning, "Settings of a router do not fit those of the controllers or of other routers; on both sides."},
		{EventControlLoad, levelInfo, "What a controller did in the last second: heartbeats by the kind of failure, batches of decisions and frames of the directory."},
		{EventDirectoryChanged, levelInfo, "Items, an instance or key assignments changed, or a command that would change them was refused."},
		{EventCallRefused, levelWarning, "A call of an operator or an instance was refused for its content."},
		{EventQuarantine, levelInfo, "The leader decided about a request under which servers crash: it is suspected, on probation, in quarantine (a warning), may be tried once, or is no longer suspected."},
		{EventRouterMet, levelInfo, "A router is no longer cut off from the others, or no longer heard."},
	}
}

func routerEvents() []EventRow {
	return []EventRow{
		{EventTableSnapshot, levelInfo, "The whole routing table was received."},
		{EventTableDigest, levelWarning, "The table differs from the controllers'; it is fetched anew."},
		{EventTableStale, levelWarning, "The table is not confirmed to be current; requests are rejected. At a gateway, standing tells why; in an outage, requests are routed by the last table."},
		{EventTableCurrent, levelInfo, "The table is confirmed to be current again; failures and outage_ms tell of failed attempts at that address before."},
		{EventControllerLost, levelWarning, "A controller cannot be reached, or the connection to it broke; told once until it answers again."},
		{EventControllerReached, levelInfo, "A controller that could not be reached answers again, after failures failed attempts in outage_ms."},
		{EventItemsInForce, levelInfo, "Changed configuration items are in force at this gateway."},
		{EventServerEjected, levelWarning, "A server failed too often and is ejected for a while."},
		{EventServersUnreached, levelWarning, "No connection can be made to most of the instances to which this gateway sent requests of late."},
		{EventServersReached, levelInfo, "Connections to most instances can be made again."},
		{EventCrashUnproven, levelInfo, "An instance that lost requests refuses connections, and so do others: this process may be cut off from all of them, so that it is no proof of a crash."},
		{EventRelayFailed, levelInfo, "A request that this gateway relays for another one got no answer of its instance."},
		{EventServerCrashed, levelWarning, "An instance ended while requests ran at it. Requests that are the same, by path, caller and body, have the same fingerprint."},
		{EventAnswerCut, levelWarning, "An instance holds more ranges of keys than the answer to its heartbeat has room for; it lets the others go."},
		{EventServerReadmitted, levelInfo, "An ejected server gets requests again."},
		{EventServerDraining, levelInfo, "A server takes no new work."},
		{EventAnswerMismatched, levelError, "A back end answered with another request's identifier."},
		{EventBackupLost, levelWarning, "The backup of a record partition does not answer."},
		{EventBackupSynced, levelInfo, "The backup of a record partition holds every record."},
		{EventPrimaryBegan, levelInfo, "This router is the primary of a record partition."},
		{EventPrimaryEnded, levelInfo, "This router is the primary of a record partition no longer."},
		{EventPeerUnreachable, levelWarning, "Another router does not answer this one; the controllers are told."},
		{EventPeerReached, levelInfo, "Another router answers again, or has no record partition any more."},
		{EventRequestEnded, levelInfo, "A gateway answered a request by itself, or after it was sent more than once or through another gateway."},
		{EventRequestMalformed, levelInfo, "A request could not be read, and its connection was closed."},
		{EventConnectionFailed, levelInfo, "A caller's connection that had sent a large request head ended with an error."},
		{EventRequestRefused, levelInfo, "A request was rejected before its body was read whole, for lack of memory or of progress while memory was short, and its connection was closed."},
		{EventLinkBytes, levelInfo, "Bytes that passed a gateway's link since the last such line, by direction and kind."},
		{EventRestingClosed, levelInfo, "A gateway that stops closes the callers' connections without a request; it waited until none was on its way, at most half of the time left."},
		{EventServerLimit, levelInfo, "An answer of an instance named a limit of requests a second from all gateways, another one, or none any more (0)."},
		{EventServerRest, levelInfo, "An instance rejected a request and wants none of this gateway for a time."},
		{EventServerSaysLeaving, levelInfo, "An answer of an instance says that it leaves."},
		{EventServerUnreadable, levelWarning, "An answer of an instance has a header that cannot be read; told once of each instance."},
		{EventSettingsReloaded, levelInfo, "Settings that changed were taken over."},
		{EventRequestOutcomeBad, levelWarning, "A request that may not be repeated ended with an unknown outcome."},
	}
}
