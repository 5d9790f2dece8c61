package main

import (
	"errors"
	"fmt"
	"io"
	"runtime/debug"

	"github.com/spf13/cobra"

	"alderproxy"
	"alderproxy/config"
	"alderproxy/document"
	"alderproxy/inifile"
)

// Exit statuses.
const (
	exitDone    = 0
	exitRefused = 1 // with a reason in one line
	exitUsage   = 2 // wrong usage
)

// usage marks errors about how the program was called.
type usage struct{ error }

// run is the whole program: it returns the exit status.
func run(args []string, out, errs io.Writer) int {
	root := root()
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errs)
	err := root.Execute()
	var wrong usage
	switch {
	case err == nil:
		return exitDone
	case errors.As(err, &wrong):
		fmt.Fprintf(errs, "alderproxy: %v (see alderproxy --help)\n", err)
		return exitUsage
	}
	fmt.Fprintln(errs, "alderproxy:", err)
	return exitRefused
}

func root() *cobra.Command {
	var path string
	serve := func(*cobra.Command, []string) error { return alderproxy.Serve(alderproxy.Options{ConfigPath: path}) }
	root := &cobra.Command{
		Use: "alderproxy", Short: "A broker between the services of many teams",
		Long: "alderproxy takes queries, fans each one out over sharded, replicated stores, and gives every query exactly one\n" +
			"final answer in time. Without a command it serves.",
		Args: args(cobra.NoArgs), RunE: serve, SilenceErrors: true, SilenceUsage: true, Version: version(),
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usage{err} })
	cmd := &cobra.Command{Use: "serve", Short: "Serve until SIGTERM", Args: args(cobra.NoArgs), RunE: serve}
	for _, c := range []*cobra.Command{root, cmd} {
		c.Flags().StringVar(&path, "config", "", "the instance's file (default: $ALDERPROXY_CONFIG, else deploy/alderproxy.ini)")
		c.MarkFlagFilename("config", "ini")
	}
	root.AddCommand(cmd, check(), initialize(), configuration(), instances(), members(), recovery())
	return root
}

// args makes what cobra says of arguments an error of usage.
func args(check cobra.PositionalArgs) cobra.PositionalArgs {
	return func(c *cobra.Command, given []string) error {
		if err := check(c, given); err != nil {
			return usage{err}
		}
		return nil
	}
}

// version is the module's, and the revision that it was built from where the build knows it.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	text := info.Main.Version
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			text += " " + s.Value
		}
	}
	return text + " " + info.GoVersion
}

func check() *cobra.Command {
	var shared bool
	c := &cobra.Command{
		Use: "check FILE...", Short: "Tell all that is wrong with instances' files or documents",
		Args: args(cobra.MinimumNArgs(1)), RunE: func(c *cobra.Command, files []string) error {
			faults := 0
			for _, path := range files {
				err := checkFile(path, shared)
				var all inifile.Faults
				switch {
				case errors.As(err, &all):
					for _, f := range all {
						fmt.Fprintln(c.OutOrStdout(), f.Error())
					}
					faults += len(all)
				case err != nil:
					fmt.Fprintln(c.OutOrStdout(), err)
					faults++
				}
			}
			if faults > 0 {
				return fmt.Errorf("faults found: %d", faults)
			}
			return nil
		},
	}
	c.Flags().BoolVar(&shared, "shared", false, "the files hold shared sections only, as the agreed document does")
	return c
}

func checkFile(path string, shared bool) error {
	if !shared {
		_, err := config.Load(path)
		return err
	}
	text, err := readText(path)
	if err != nil {
		return err
	}
	_, err = document.Parse(path, text)
	return err
}
