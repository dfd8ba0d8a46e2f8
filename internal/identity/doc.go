// Package identity stores who a replica is: its own identifier, the group it
// belongs to and the group's founders. The identifier is drawn at first start
// and synced before the replica speaks. A replica whose disk was lost has no
// identity file and must join under a new identifier.
//
// The package also locks a data folder, so that two processes never share one.
package identity
