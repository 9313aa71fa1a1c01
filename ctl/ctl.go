// Package ctl implements the commands of dandelionctl, with which operators and their
// pipeline check, commit and watch manifests, query processes and evaluate logs.
package ctl

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"dandelionsill.org/adapters/httplog"
	"dandelionsill.org/adapters/httpvms"
	"dandelionsill.org/base/settings"
	"dandelionsill.org/ctl/logscan"
	"dandelionsill.org/platform"
)

// Exit codes.
const (
	ExitOK            = 0
	ExitFailed        = 1 // the command failed; a commit was not accepted
	ExitUsage         = 2 // the command line is not valid
	ExitRaceLost      = 3 // another revision was accepted first
	ExitUnknown       = 4 // the commit's outcome is unknown
	ExitNotEverywhere = 5 // accepted, but not in force on every process in time
)

const (
	programName = "dandelionctl"
	envPrefix   = "DANDELIONCTL"
)

// exitError is an error with the exit code of the program.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }
func (e *exitError) Unwrap() error { return e.err }

func newExitError(code int, format string, args ...any) error {
	return &exitError{code, fmt.Errorf(format, args...)}
}

func usageError(format string, args ...any) error { return newExitError(ExitUsage, format, args...) }

// tool is one run of dandelionctl. Tests replace newLog and newVMs by fakes.
type tool struct {
	stdout, stderr io.Writer
	newLog         func(base string) platform.Log
	newVMs         func(base string) platform.VMList
}

// Main runs dandelionctl and returns its exit code. args are the arguments without
// the program's name.
func Main(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	t := &tool{
		stdout: stdout, stderr: stderr,
		newLog: func(base string) platform.Log { return httplog.New(base, programName) },
		newVMs: func(base string) platform.VMList { return httpvms.New(base, programName) },
	}
	return t.run(ctx, args)
}

func (t *tool) run(ctx context.Context, args []string) int {
	root := t.commands()
	if err := checkEnv(os.Environ(), root); err != nil {
		fmt.Fprintf(t.stderr, "%s: %v\n", programName, err)
		return ExitUsage
	}
	if err := root.Parse(args); err != nil {
		return t.reportParseError(root, args, err)
	}
	err := root.Run(ctx)
	if err == nil {
		return ExitOK
	}
	code := ExitFailed
	var e *exitError
	if errors.As(err, &e) {
		code = e.code
	}
	fmt.Fprintf(t.stderr, "%s: %v\n", programName, err)
	if code == ExitUsage {
		fmt.Fprintf(t.stderr, "Run \"%s %s -h\" for its usage.\n", programName, commandName(root, args))
	}
	return code
}

// checkEnv returns a usage error for an environment variable with the program's
// prefix that no command has. A variable of another command is allowed, because the
// pipeline may set it for all commands.
func checkEnv(environ []string, root *ffcli.Command) error {
	var known []string
	for _, c := range root.Subcommands {
		c.FlagSet.VisitAll(func(f *flag.Flag) {
			known = append(known, envPrefix+"_"+strings.ToUpper(strings.ReplaceAll(f.Name, "-", "_")))
		})
	}
	if name := settings.UnknownEnv(environ, envPrefix, known); name != "" {
		return usageError("unknown environment variable %s%s", name, settings.NearestHint(name, known))
	}
	return nil
}

func (t *tool) reportParseError(root *ffcli.Command, args []string, err error) int {
	var noExec ffcli.NoExecError
	switch {
	case errors.Is(err, flag.ErrHelp):
		return ExitOK
	case errors.As(err, &noExec):
		if len(args) > 0 {
			fmt.Fprintf(t.stderr, "%s: there is no command %q%s\n", programName, args[0], settings.NearestHint(args[0], commandNames(root)))
		}
		fmt.Fprintln(t.stderr, ffcli.DefaultUsageFunc(root))
	default: // the flag set prints its errors itself, but not those of package ff
		fmt.Fprintf(t.stderr, "%s: %v\n", programName, err)
	}
	return ExitUsage
}

func commandNames(root *ffcli.Command) []string {
	list := make([]string, len(root.Subcommands))
	for i, c := range root.Subcommands {
		list[i] = c.Name
	}
	return list
}

func commandName(root *ffcli.Command, args []string) string {
	for _, c := range root.Subcommands {
		if len(args) > 0 && c.Name == args[0] {
			return c.Name
		}
	}
	return ""
}

func (t *tool) commands() *ffcli.Command {
	return &ffcli.Command{
		Name:       programName,
		ShortUsage: programName + " COMMAND [flags] [arguments]",
		LongHelp: `Each flag can also be set by the environment: --log by ` + envPrefix + `_LOG.
Exit codes: 0 ok, 1 failed, 2 usage, 3 lost the race, 4 outcome unknown,
5 accepted but not in force everywhere in time.`,
		FlagSet: t.flagSet(programName),
		Subcommands: []*ffcli.Command{
			t.checkCommand(), t.diffCommand(), t.commitCommand(), t.statusCommand(),
			t.watchCommand(), t.explainCommand(), t.traceCommand(), t.lossesCommand(), t.permitsCommand(), t.evacuationsCommand(), t.keygenCommand(), t.versionCommand(),
		},
	}
}

func (t *tool) flagSet(name string) *flag.FlagSet {
	set := flag.NewFlagSet(name, flag.ContinueOnError)
	set.SetOutput(t.stderr)
	return set
}

// command returns a subcommand that takes minArgs to maxArgs arguments.
func (t *tool) command(set *flag.FlagSet, arguments, help string, minArgs, maxArgs int, run func(context.Context, []string) error) *ffcli.Command {
	return &ffcli.Command{
		Name:       set.Name(),
		ShortUsage: strings.TrimSpace(fmt.Sprintf("%s %s [flags] %s", programName, set.Name(), arguments)),
		ShortHelp:  help,
		FlagSet:    set,
		Options:    []ff.Option{ff.WithEnvVarPrefix(envPrefix)},
		Exec: func(ctx context.Context, args []string) error {
			for _, arg := range args {
				if strings.HasPrefix(arg, "-") && arg != logscan.Stdin {
					return usageError("flag %s stands behind an argument; flags go first", arg)
				}
			}
			if len(args) < minArgs || len(args) > maxArgs {
				return usageError("%s takes %s, not %d arguments", set.Name(), describeArguments(arguments), len(args))
			}
			return run(ctx, args)
		},
	}
}

func describeArguments(arguments string) string {
	if arguments == "" {
		return "no arguments"
	}
	return arguments
}

func (t *tool) versionCommand() *ffcli.Command {
	set := t.flagSet("version")
	return t.command(set, "", "print the program's version", 0, 0, func(context.Context, []string) error {
		_, err := fmt.Fprintln(t.stdout, settings.Version())
		return errors.Trace(err)
	})
}

// readFile reads a manifest file; "-" stands for standard input.
func readFile(path string) ([]byte, error) {
	if path == "-" {
		data, err := io.ReadAll(os.Stdin)
		return data, errors.Annotate(err, "standard input")
	}
	data, err := os.ReadFile(path)
	return data, errors.Trace(err)
}
