package config

import (
	"fmt"
	"time"
)

// RouterTimes are the settings of a router that must fit those of the
// controllers and of other routers. The router tells them when it connects.
type RouterTimes struct {
	PingInterval    time.Duration
	StalenessLimit  time.Duration
	RecordsLifetime time.Duration
}

// Times returns the settings that a router tells its controllers.
func (r Router) Times() RouterTimes {
	return RouterTimes{
		PingInterval: r.PingInterval, StalenessLimit: r.StalenessLimit, RecordsLifetime: r.Records.Lifetime,
	}
}

// NamedTimes are the settings that one router told.
type NamedTimes struct {
	Router string
	RouterTimes
}

// Mismatch is a problem between the settings of two processes.
type Mismatch struct {
	Problem
	// NoSession says that the router must not get a session, so that it holds no
	// idempotency records; else the mismatch is a warning.
	NoSession bool
}

// electionsPerStaleness: an election takes up to twice the configured ticks.
const electionsPerStaleness = 2

// CheckRouterTimes compares what a router told with the settings of the
// controllers and with what other connected routers told.
func CheckRouterTimes(controller Controller, told NamedTimes, others []NamedTimes) []Mismatch {
	var found []Mismatch
	add := func(field, value, message, remedy string, noSession bool) {
		found = append(found, Mismatch{NoSession: noSession, Problem: Problem{
			File: "settings of router " + told.Router, Field: field, Value: value, Message: message, Remedy: remedy,
		}})
	}
	lease := controller.Partitions.LeaseDuration
	if longest := lease / pingsPerLease; told.PingInterval > longest {
		message := fmt.Sprintf("is above a third of the controllers' partitions.lease_duration of %s, so that one lost ping ends the lease", lease)
		if told.PingInterval >= lease {
			message = fmt.Sprintf("reaches the controllers' partitions.lease_duration of %s; the router gets no session, and refuses requests that may not be repeated", lease)
		}
		add("ping_interval", told.PingInterval.String(), message,
			fmt.Sprintf("use at most %s, or a partitions.lease_duration of at least %s", longest, pingsPerLease*told.PingInterval), told.PingInterval >= lease)
	}
	election := electionsPerStaleness * time.Duration(controller.Consensus.ElectionTicks) * controller.Consensus.TickInterval
	if shortest := election + pingsPerStaleness*told.PingInterval; told.StalenessLimit < shortest {
		add("staleness_limit", told.StalenessLimit.String(),
			fmt.Sprintf("is below an election of the controllers, up to %s, and %d pings: each election refuses requests", election, pingsPerStaleness),
			fmt.Sprintf("use at least %s", shortest), false)
	}
	if other, differs := otherLifetime(told, others); differs {
		add("records.lifetime", told.RecordsLifetime.String(),
			fmt.Sprintf("differs from the %s of router %s; a router that comes so gets no session, and refuses requests that may not be repeated", other.RecordsLifetime, other.Router),
			fmt.Sprintf("use %s, or stop every router before the first one starts with another lifetime", other.RecordsLifetime), false)
	}
	return found
}

func otherLifetime(told NamedTimes, others []NamedTimes) (NamedTimes, bool) {
	for _, other := range others {
		if other.Router != told.Router && other.RecordsLifetime != told.RecordsLifetime {
			return other, true
		}
	}
	return NamedTimes{}, false
}
