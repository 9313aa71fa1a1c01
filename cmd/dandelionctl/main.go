// Command dandelionctl is the operators' command line: it checks, commits and watches
// manifests, queries processes and evaluates logs.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"dandelionsill.org/ctl"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := ctl.Main(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
