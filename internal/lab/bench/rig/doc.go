// Package rig sets up real controllers and routers with hollow back ends and
// hollow routers around them, acts on them, and measures what each act costs.
package rig
