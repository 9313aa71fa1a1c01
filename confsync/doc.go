// Package confsync keeps the control state of a process: the manifest revision
// in force and the newest weight versions.
//
// The state comes from two sources. The log's control stream is authoritative: a
// Keeper tails it and applies its records (package fold/control). In addition,
// processes exchange the state with their peers (Exchange). So a process that
// can't reach the log gets a change within seconds, and one that starts while
// the log is unavailable gets the state from its peers.
//
// Revision numbers and weight versions that a Keeper publishes never decrease.
// Every process verifies the signature of every revision itself, whether it
// came from the log or from a peer.
//
// # Cost
//
// The fleet of docs/CAPACITY.md has 1,860 processes and about 0.07 changes per
// second. Each process may use 17 KB/s and 3% of a core for control. While the
// log is available a process sends one exchange every two seconds and nine
// short ones after a change; one of them carries the manifest only if the peer
// lacks it. That is 0.5 + 0.07·9 ≈ 1.1 exchanges per second out, and as many
// in. Without the log a process sends 2.5 per second. BenchmarkExchange measures
// the bytes and the time of one exchange.
package confsync
