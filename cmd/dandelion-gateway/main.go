// Command dandelion-gateway accepts requests of callers and trainers on the hosted
// platform, and runs the batch jobs that it owns.
package main

import (
	"os"

	"dandelionsill.org/base/run"
	"dandelionsill.org/gateway/server"
)

func main() { os.Exit(run.Daemon("dandelion-gateway", os.Args[1:], server.BuildGateway)) }
