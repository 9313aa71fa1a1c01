// Command dandelion-gateway takes callers and trainers on the prepared
// machines, and owns batch jobs.
package main

import (
	"os"

	"dandelionsill.org/base/run"
	"dandelionsill.org/gateway/server"
)

func main() { os.Exit(run.Daemon("dandelion-gateway", os.Args[1:], server.BuildGateway)) }
