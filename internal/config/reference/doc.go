// Package reference writes docs/CONFIGURATION.md from the typed settings, so
// that the page cannot differ from the code.
package reference
