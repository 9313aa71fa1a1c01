// Command dandelion-agent runs beside one backend server; all requests to the backend
// server go through it.
package main

import (
	"os"

	"dandelionsill.org/agent/server"
	"dandelionsill.org/base/run"
)

func main() { os.Exit(run.Daemon("dandelion-agent", os.Args[1:], server.Build)) }
