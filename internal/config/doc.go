// Package config holds the static settings of each process. A settings file is
// YAML; flags override a few of its fields. Load reports every problem of a
// file at once, each with its line, field, value and remedy, so that a process
// either starts with settings that were checked whole or does not start.
package config
