// Package crowd holds integration tests of the product's processes under many
// clients that hold memory and connections and make no progress. Each test
// starts processes of its own; the package must run apart from other load.
package crowd
