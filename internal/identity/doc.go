// Package identity stores a replica's identity: its own identifier, the group it
// belongs to and the group's founders. The identifier is generated at the first start
// and synced to disk before the replica sends any message. A replica whose disk was lost
// has no identity file and must join under a new identifier.
//
// The package also locks the data folder, so that two processes never use the same one.
package identity
