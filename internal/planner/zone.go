package planner

import (
	"github.com/thorntiller/thorntiller/internal/directory"
	"github.com/thorntiller/thorntiller/internal/fault"
	"github.com/thorntiller/thorntiller/internal/state"
)

// changeZone plans that a zone is evacuated or restored. Its keys move by the same rules as
// those of servers that leave, a few at a time, so that the plan names no moves.
func (d *draft) changeZone(field string, zone directory.Zone) error {
	view := d.view.Directory()
	servers := d.serversIn(zone.Name)
	var names []string
	if len(servers) > 0 {
		names = append(names, zone.Name)
	}
	if err := view.CheckZone(zone, names); err != nil {
		return fault.Newf(fault.KindOf(err), "%s: %v", field, err)
	}
	if view.Evacuated(zone.Name) == zone.Evacuated {
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
	if !d.servedElsewhere(zone.Name) {
		d.plan.Reasons = append(d.plan.Reasons, "warning: no other zone serves: every request is rejected until a zone is restored")
	}
	return nil
}

func (d *draft) serversIn(zone string) []state.Server {
	var servers []state.Server
	for _, server := range d.view.Servers() {
		if server.Zone == zone && server.Intent == state.ServerActive {
			servers = append(servers, server)
		}
	}
	return servers
}

func (d *draft) instancesIn(zone string) int {
	count := 0
	for instance := range d.view.Directory().EachInstance() {
		if instance.Zone == zone && instance.Serving() {
			count++
		}
	}
	return count
}

// servedElsewhere reports whether a zone other than the one given serves requests.
func (d *draft) servedElsewhere(zone string) bool {
	for instance := range d.view.Directory().EachInstance() {
		if instance.Zone != zone && instance.Serving() && !d.view.Directory().Evacuated(instance.Zone) {
			return true
		}
	}
	for _, server := range d.view.Servers() {
		if server.Zone != zone && takesShards(server) {
			return true
		}
	}
	return false
}
