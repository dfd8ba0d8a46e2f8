// Package message defines the messages that this project's processes exchange as msgpack frames:
// controllers among themselves, routers and gateways with controllers, and routers and gateways
// among themselves.
package message
