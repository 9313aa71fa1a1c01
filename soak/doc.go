// Package soak holds a randomized soak test. It runs the real gateways and agents
// as processes on this machine and stand-ins of the platform behind loopback
// proxies. A seed determines the faults: signals, connections that are delayed,
// reset or lose their bytes, and a faulty store, engines and servers. Bursts of callers
// send more than the servers can take; one without faults judges admission. While it
// runs it checks the guarantees to callers and trainers against what they and the
// backend servers observe. See docs/DEVELOPERS.md for how to run it.
package soak
