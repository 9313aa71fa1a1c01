// Package grpcenv sets a limit that grpc-go only takes from the environment, when its packages are initialized: how many frames
// a connection may have queued in response to what its peer sends, before it stops reading. The default lets a peer that reads
// nothing make a process hold megabytes for each connection.
//
// Packages are initialized in the order of their import paths, but for those that others need. This one needs nothing that
// grpc-go needs later than its own environment, and comes before it.
package grpcenv

import "os"

const (
	variable  = "GRPC_GO_EXPERIMENTAL_CONTROL_BUFFER_THROTTLE_LIMIT"
	maxFrames = "100"
)

func init() {
	if os.Getenv(variable) == "" {
		_ = os.Setenv(variable, maxFrames) // fails only for invalid names
	}
}
