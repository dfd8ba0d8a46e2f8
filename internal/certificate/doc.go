// Package certificate holds a process's TLS certificate and the certificate authority
// that it trusts. Both are loaded from files and reloaded when the files change.
// Connections between this project's processes and to the intent API use mutual TLS:
// each side presents a certificate signed by the same authority.
package certificate
