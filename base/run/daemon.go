package run

import (
	"context"
	"fmt"
	"os"

	"dandelionsill.org/base/settings"
)

// Daemon is the whole main of a process: it loads the settings S from the
// command line args (without the program's name), environment and file, builds
// the process and runs it. It returns the exit code: 2 where the settings can't
// be right, 0 where they were only asked about (settings.Result.Done), else
// that of Main.
func Daemon[S any](name string, args []string, build func(context.Context, S) (*Process, error)) int {
	hangups, stopHangups := notifyHangups()
	defer stopHangups()
	var set S
	result, err := settings.Load(name, args, &set, os.Stdout)
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
		return exitUsage
	}
	if result.Done {
		return exitOK
	}
	return Main(name, func(ctx context.Context) (*Process, error) {
		p, err := build(ctx, set)
		if err == nil {
			go newReloader(name, args, result.File, set, p).run(ctx, hangups)
		}
		return p, err
	})
}
