// Command dandelion-entry accepts requests of callers, trainers and operators, and
// selects the backend servers that handle them.
package main

import (
	"os"

	"dandelionsill.org/base/run"
	"dandelionsill.org/entry/server"
)

func main() { os.Exit(run.Daemon("dandelion-entry", os.Args[1:], server.Build)) }
