// Command dandelion-orders runs beside one engine on the hosted platform and orders it
// to load weights.
package main

import (
	"os"

	"dandelionsill.org/base/run"
	"dandelionsill.org/gateway/server"
)

func main() { os.Exit(run.Daemon("dandelion-orders", os.Args[1:], server.BuildAgent)) }
