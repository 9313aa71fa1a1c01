// Package soak holds a randomized soak: the real gateways and agents as
// processes on this machine, a platform of stand-ins behind loopback proxies,
// and faults from outside them by a seed: signals, connections that are
// delayed, reset or silenced, a store and engines that misbehave. It checks the
// promises to callers and trainers while it runs, from what they and the
// backend servers see. See docs/DEVELOPERS.md for how to run it.
package soak
