package table

import (
	"maps"
	"slices"

	"github.com/thorntiller/thorntiller/internal/state"
)

// editor builds the next version of a table.
type editor struct {
	next       *Table
	servers    *bucketEdit[state.ServerID, *state.Server]
	routers    *bucketEdit[state.RouterID, *state.Router]
	partitions *bucketEdit[int, *state.RecordPartition]
	ranges     map[state.ServiceName]*rangeEdit
	// copiedServers marks the services whose server list this edit has copied and
	// may change in place.
	copiedServers map[state.ServiceName]bool
	// previous is a table whose chunks are reused where they are equal; may be nil.
	previous *Table
	// err is set when the table cannot hold a shard; finish returns it.
	err error
}

func newEditor(from *Table) *editor {
	next := *from
	next.services = maps.Clone(from.services)
	return &editor{
		next:       &next,
		servers:    from.servers.edit(),
		routers:    from.routers.edit(),
		partitions: from.partitions.edit(),
		ranges:     make(map[state.ServiceName]*rangeEdit),

		copiedServers: make(map[state.ServiceName]bool),
	}
}

// applyObjects returns the table with the objects put or deleted.
func applyObjects(from *Table, objects []state.Object) (*Table, error) {
	edit := newEditor(from)
	edit.removeMoved(objects)
	for _, object := range objects {
		edit.apply(object)
	}
	return edit.finish()
}

func (e *editor) finish() (*Table, error) {
	if e.err != nil {
		return nil, e.err
	}
	for name, ranges := range e.ranges {
		view := *e.view(name)
		view.ranges = ranges.finish()
		e.next.services[name] = &view
		e.dropEmpty(name)
	}
	e.next.servers = e.servers.next
	e.next.routers = e.routers.next
	e.next.partitions = e.partitions.next
	e.next.ownerNames = e.next.names.names
	return e.next, nil
}

func (e *editor) apply(object state.Object) {
	switch {
	case object.Service != nil:
		e.applyService(object)
	case object.Server != nil:
		e.applyServer(object)
	case object.Shard != nil:
		e.applyShard(object)
	case object.Router != nil:
		e.applyRouter(object)
	case object.Partition != nil:
		e.applyPartition(object)
	}
}

// view returns the service's view, or an empty one.
func (e *editor) view(name state.ServiceName) *serviceView {
	if view, found := e.next.services[name]; found {
		return view
	}
	return &serviceView{ranges: &rangeIndex{}}
}

// updateDigest removes an object's earlier version, if found, from the digest and
// adds its new version.
func (e *editor) updateDigest(object state.Object, earlier state.Object, found bool) {
	if found {
		e.next.digest ^= state.ObjectDigest(earlier)
	}
	e.next.digest ^= state.ObjectDigest(object)
}

func (e *editor) applyService(object state.Object) {
	name := object.Service.Name
	view := *e.view(name)
	e.updateDigest(object, state.Object{Service: view.service}, view.service != nil)
	view.service = object.Service
	if object.Deleted {
		view.service = nil
	}
	e.next.services[name] = &view
	e.dropEmpty(name)
}

// dropEmpty deletes a service without configuration, servers and shards.
func (e *editor) dropEmpty(name state.ServiceName) {
	view := e.next.services[name]
	if view.service == nil && len(view.servers) == 0 && len(view.ranges.chunks) == 0 {
		delete(e.next.services, name)
	}
}

func (e *editor) applyServer(object state.Object) {
	id := object.Server.ID
	earlier, found := e.servers.get(id)
	e.updateDigest(object, state.Object{Server: earlier}, found)
	if found && (object.Deleted || earlier.Service != object.Server.Service) {
		e.writableView(earlier.Service).removeServer(id)
		e.dropEmpty(earlier.Service)
	}
	if object.Deleted {
		e.servers.remove(id)
		return
	}
	e.servers.put(id, object.Server)
	e.writableView(object.Server.Service).putServer(object.Server)
}

// writableView returns a view whose server list this edit may change in place.
// The list is copied once, however many servers a change contains.
func (e *editor) writableView(name state.ServiceName) *serviceView {
	view, found := e.next.services[name]
	if found && e.copiedServers[name] {
		return view
	}
	copied := *e.view(name)
	copied.servers = slices.Clone(copied.servers)
	e.next.services[name] = &copied
	e.copiedServers[name] = true
	return &copied
}

func (e *editor) applyRouter(object state.Object) {
	id := object.Router.ID
	earlier, found := e.routers.get(id)
	e.updateDigest(object, state.Object{Router: earlier}, found)
	if object.Deleted {
		e.routers.remove(id)
		return
	}
	e.routers.put(id, object.Router)
}

func (e *editor) applyPartition(object state.Object) {
	number := object.Partition.Number
	earlier, found := e.partitions.get(number)
	e.updateDigest(object, state.Object{Partition: earlier}, found)
	if object.Deleted {
		e.partitions.remove(number)
		return
	}
	e.partitions.put(number, object.Partition)
}
