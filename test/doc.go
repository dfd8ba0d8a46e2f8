// Package test holds integration tests that run the product as separate
// processes behind fault proxies.
package test
