package gateway

import (
	"sync"

	"github.com/thorntiller/thorntiller/internal/config"
	"github.com/thorntiller/thorntiller/internal/directory"
	"github.com/thorntiller/thorntiller/internal/forward"
)

// upstreams has the client with the connections to each instance. It is safe for concurrent use.
type upstreams struct {
	settings forward.Settings
	mutex    sync.Mutex
	clients  map[directory.InstanceID]*forward.Client
}

func newUpstreams(settings config.BackEnd, dialect Dialect, traffic forward.Traffic, memory *forward.AnswerMemory, dial forward.DialFunc) *upstreams {
	return &upstreams{
		clients: make(map[directory.InstanceID]*forward.Client),
		settings: forward.Settings{
			ConnectTimeout: settings.ConnectTimeout, IdleTimeout: settings.IdleTimeout, MaxConnections: settings.MaxConnections,
			ControlConnections: 1, MaxAnswerBytes: settings.MaxAnswerBytes, IDHeader: dialect.RequestID, AcceptUnframed: true,
			AnswerMemory: memory, Traffic: traffic, Dial: dial,
		},
	}
}

func (u *upstreams) client(instance directory.Instance) *forward.Client {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	client, found := u.clients[instance.ID]
	if !found {
		client = forward.NewClient(instance.Address, u.settings)
		u.clients[instance.ID] = client
	}
	return client
}

// find returns the client of an instance to which requests were sent.
func (u *upstreams) find(id directory.InstanceID) (*forward.Client, bool) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	client, found := u.clients[id]
	return client, found
}

// forget closes the idle connections to instances that are gone.
func (u *upstreams) forget(known func(directory.InstanceID) bool) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	for id, client := range u.clients {
		if !known(id) {
			client.CloseIdle()
			delete(u.clients, id)
		}
	}
}
