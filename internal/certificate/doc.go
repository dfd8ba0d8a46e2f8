// Package certificate keeps a process's TLS certificate and the authority that
// it trusts, read from files and read again when the files change. Connections
// between this project's processes and to the intent API are authenticated in
// both directions: each side presents a certificate of the same authority.
package certificate
