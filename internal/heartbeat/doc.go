// Package heartbeat decides, on the leading controller, about the leases that
// instances renew by their own heartbeats: what a heartbeat changes in the
// directory, which keys its answer grants, when an instance that fell silent holds
// nothing any more, and who gets its keys. It is a pure core: it reads no clock and
// performs no I/O.
//
// A lease counts from the sending of the heartbeat that it answers. The process
// answers only after a quorum round that began after the heartbeat came, so that a
// leader that was deposed extends no lease which its successor has waited out.
//
// Invariants:
//   - keys pass to another instance only when their owner said in a heartbeat that
//     it does not hold them, sent after the last answer that granted them; or when
//     its last lease has surely ended; or when its process has ended, as another
//     instance answers at its address;
//   - keys that are being taken away are granted in no later answer.
package heartbeat
