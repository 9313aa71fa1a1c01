// Package e2e contains the end-to-end tests. They run real processes on loopback
// addresses: entries, agents and stand-ins for the platform. The package itself is
// empty; everything is in its test files.
package e2e
