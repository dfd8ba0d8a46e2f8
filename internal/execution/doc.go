// Package execution carries one request from its first decision to its final
// answer: which server it goes to, what a failed attempt says of the server,
// whether it is cancelled, whether it is sent again, and when it is given up.
// It is a pure core: typed inputs with a clock reading go in, one typed action
// comes out. The router's process and the simulator carry out the same actions.
package execution
