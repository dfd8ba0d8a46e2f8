package planner

import (
	"github.com/thorntiller/thorntiller/internal/directory"
	"github.com/thorntiller/thorntiller/internal/fault"
	"github.com/thorntiller/thorntiller/internal/state"
)

// changeZone plans the evacuation or restoration of a zone. The plan contains no moves:
// the zone's keys move later, a few at a time, by the same rules as those of servers that
// leave.
func (d *draft) changeZone(field string, zone directory.Zone) error {
	zones := d.view.Directory()
	servers := d.serversIn(zone.Name)
	var zoneNames []string
	if len(servers) > 0 {
		zoneNames = append(zoneNames, zone.Name)
	}
	if err := zones.CheckZone(zone, zoneNames); err != nil {
		return fault.Newf(fault.KindOf(err), "%s: %v", field, err)
	}
	if zones.Evacuated(zone.Name) == zone.Evacuated {
		state := map[bool]string{true: "evacuated", false: "in service"}[zone.Evacuated]
		return fault.Newf(fault.Conflict, "%s.zone: %q is %s already: status shows the zones", field, zone.Name, state)
	}
	if !zone.Evacuated {
		d.add(state.Operation{PutZone: &zone}, "zone %s gets requests and keys again, %d servers and %d instances; cold ones get few at first",
			zone.Name, len(servers), d.instancesIn(zone.Name))
		return nil
	}
	d.add(state.Operation{PutZone: &zone}, "zone %s gets no requests any more, %d servers and %d instances; their keys move to other zones",
		zone.Name, len(servers), d.instancesIn(zone.Name))
	if !d.otherZoneServes(zone.Name) {
		d.plan.Reasons = append(d.plan.Reasons, "warning: no other zone serves: every request is rejected until a zone is restored")
	}
	return nil
}

// serversIn returns the servers of a zone that are not retiring or retired.
func (d *draft) serversIn(zone string) []state.Server {
	var servers []state.Server
	for _, server := range d.view.Servers() {
		if server.Zone == zone && server.Intent == state.ServerActive {
			servers = append(servers, server)
		}
	}
	return servers
}

// instancesIn returns the number of a zone's instances that serve requests.
func (d *draft) instancesIn(zone string) int {
	count := 0
	for instance := range d.view.Directory().EachInstance() {
		if instance.Zone == zone && instance.Serving() {
			count++
		}
	}
	return count
}

// otherZoneServes reports whether any zone other than the given one serves requests.
func (d *draft) otherZoneServes(zone string) bool {
	for instance := range d.view.Directory().EachInstance() {
		if instance.Zone != zone && instance.Serving() && !d.view.Directory().Evacuated(instance.Zone) {
			return true
		}
	}
	for _, server := range d.view.Servers() {
		if server.Zone != zone && acceptsShards(server) {
			return true
		}
	}
	return false
}
