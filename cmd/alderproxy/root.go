package main

import (
	"errors"
	"fmt"
	"io"
	"runtime/debug"

	"github.com/spf13/cobra"

	"alderproxy"
)

// Exit statuses.
const (
	exitOK     = 0
	exitFailed = 1 // the reason is printed as one line
	exitUsage  = 2 // the command line is invalid
)

// usageError is an error in the command line.
type usageError struct{ error }

// Unwrap returns the error without its type.
func (e usageError) Unwrap() error { return e.error }

// run executes the command line and returns the exit status.
func run(args []string, stdout, stderr io.Writer) int {
	c := rootCommand()
	c.SetArgs(args)
	c.SetOut(stdout)
	c.SetErr(stderr)
	err := c.Execute()
	var usage usageError
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &usage):
		_, _ = fmt.Fprintf(stderr, "alderproxy: %v (see alderproxy --help)\n", err)
		return exitUsage
	}
	_, _ = fmt.Fprintln(stderr, "alderproxy:", err)
	return exitFailed
}

func rootCommand() *cobra.Command {
	var configPath string
	serve := func(*cobra.Command, []string) error {
		return alderproxy.Serve(alderproxy.Options{ConfigPath: configPath})
	}
	root := &cobra.Command{
		Use:   "alderproxy",
		Short: "A broker that fans queries out over sharded, replicated stores",
		Long: "alderproxy takes queries, fans each one out over sharded, replicated stores, and gives every query exactly one\n" +
			"final answer in time. Without a command it runs \"serve\".",
		Args:          checkArgs(cobra.NoArgs),
		RunE:          serve,
		SilenceErrors: true,
		SilenceUsage:  true,
		Version:       version(),
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError{err} })
	serveCommand := &cobra.Command{Use: "serve", Short: "Serve queries until SIGTERM or SIGINT", Args: checkArgs(cobra.NoArgs), RunE: serve}
	for _, c := range []*cobra.Command{root, serveCommand} {
		addConfigFlag(c, &configPath, "path of the instance's file (default: $ALDERPROXY_CONFIG, else deploy/alderproxy.ini)")
	}
	root.AddCommand(serveCommand, checkCommand(), initCommand(), configCommand(), instancesCommand(), membersCommand(), recoverCommand())
	return root
}

// addConfigFlag adds the flag --config for the path of the instance's file.
func addConfigFlag(c *cobra.Command, path *string, usage string) {
	c.Flags().StringVar(path, "config", "", usage)
	if err := c.MarkFlagFilename("config", "ini"); err != nil {
		panic(err) // the flag does not exist
	}
}

// checkArgs returns check with its errors converted to usage errors.
func checkArgs(check cobra.PositionalArgs) cobra.PositionalArgs {
	return func(c *cobra.Command, args []string) error {
		if err := check(c, args); err != nil {
			return usageError{err}
		}
		return nil
	}
}

// version returns the module's version, the revision that it was built from, if the build recorded it, and the version of Go.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	text := info.Main.Version
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			text += " " + setting.Value
		}
	}
	return text + " " + info.GoVersion
}
