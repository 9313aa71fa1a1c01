package run

import (
	"context"
	"fmt"
	"os"

	"dandelionsill.org/base/settings"
)

// Daemon is the complete main function of a process: it loads the settings S from
// args (the command line without the program's name), the environment and the
// settings file, builds the process, runs it, and reloads changed settings while it
// runs. It returns the exit code: 2 if the settings are invalid, 0 if only a query
// such as --check was answered (settings.Result.Done), else that of Main.
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
