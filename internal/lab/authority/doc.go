// Package authority issues short-lived certificates for fleets of stand-ins and
// tests. It is no part of the product.
package authority
