// Package execution is the state machine of one request, from the first routing
// decision to the final answer: it decides which server the request goes to, what a
// failed attempt says about the server's health, whether the attempt is cancelled,
// whether the request is sent again, and when it fails. It does no I/O and reads no
// clock: each input carries a clock reading and yields one Action. The router process
// and the simulator carry out the same actions.
package execution
