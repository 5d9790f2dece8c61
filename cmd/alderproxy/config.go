package main

import (
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/pmezard/go-difflib/difflib"
	"github.com/spf13/cobra"

	"alderproxy/admin"
	"alderproxy/sharedconfig"
)

// diffContext is the number of unchanged lines that a diff prints before and after a change.
const diffContext = 3

func configCommand() *cobra.Command {
	var a adminFlags
	c := &cobra.Command{Use: "config", Short: "Read and change the shared document"}
	a.addFlags(c)
	c.AddCommand(a.showCommand(), a.diffCommand(), a.putCommand(), a.historyCommand(), a.rollbackCommand())
	return c
}

func (a *adminFlags) showCommand() *cobra.Command {
	var version uint64
	var local bool
	c := &cobra.Command{
		Use:   "show",
		Short: "Print the active version of the shared document, or another version",
		Args:  checkArgs(cobra.NoArgs),
		RunE: func(c *cobra.Command, _ []string) error {
			client, err := a.client()
			if err != nil {
				return err
			}
			shown, err := client.Show(version, local)
			if err != nil {
				return err
			}
			return a.print(c.OutOrStdout(), shown, func(out *output) { out.printf("%s", shown.Text) })
		},
	}
	c.Flags().Uint64Var(&version, "version", 0, "version to print (default: the active one)")
	addLocalFlag(c, &local)
	return c
}

// documentDiff is the difference between the active version and a file.
type documentDiff struct {
	Version uint64 `json:"version"`
	Diff    string `json:"diff"`
}

func (a *adminFlags) diffCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "diff FILE",
		Short: "Print the difference between the active version and a file",
		Args:  checkArgs(cobra.ExactArgs(1)),
		RunE: func(c *cobra.Command, files []string) error {
			client, err := a.client()
			if err != nil {
				return err
			}
			text, err := readText(files[0])
			if err != nil {
				return err
			}
			active, err := client.Show(0, false)
			if err != nil {
				return err
			}
			diff, err := difflib.GetUnifiedDiffString(difflib.UnifiedDiff{
				A:        difflib.SplitLines(active.Text),
				B:        difflib.SplitLines(text),
				FromFile: fmt.Sprintf("version %d", active.Number),
				ToFile:   files[0],
				Context:  diffContext,
			})
			if err != nil {
				return err
			}
			return a.print(c.OutOrStdout(), documentDiff{active.Number, diff}, func(out *output) { out.printf("%s", diff) })
		},
	}
}

// changeFlags holds the flags of commands that change the shared document.
type changeFlags struct {
	expect  uint64
	author  string
	reason  string
	request string
}

func (f *changeFlags) addTo(c *cobra.Command) {
	c.Flags().Uint64Var(&f.expect, "expect", 0, "version that the change must replace (default: the active one)")
	c.Flags().StringVar(&f.author, "author", defaultAuthor(), "author of the change in the history")
	c.Flags().StringVar(&f.reason, "reason", "", "reason for the change in the history")
	c.Flags().StringVar(&f.request, "request", "", "id of the change: a retry with the same id does not make it twice (default: a new id)")
}

// change sends a change and prints its outcome. Without an answer, the outcome is unknown.
func (a *adminFlags) change(c *cobra.Command, flags changeFlags, change admin.ConfigChange) error {
	client, err := a.client()
	if err != nil {
		return err
	}
	change.Expect = flags.expect
	if change.Expect == 0 {
		active, err := client.Show(0, false)
		if err != nil {
			return err
		}
		change.Expect = active.Number
	}
	change.Request = flags.request
	if change.Request == "" {
		change.Request = admin.NewRequestID()
	}
	change.Author = flags.author
	change.Reason = flags.reason
	outcome, err := client.Put(change)
	if errors.Is(err, admin.ErrUnreachable) {
		outcome = sharedconfig.Outcome{RequestID: change.Request, Reason: err.Error()}
	} else if err != nil {
		return err
	}
	return a.printOutcome(c.OutOrStdout(), outcome)
}

func (a *adminFlags) putCommand() *cobra.Command {
	var flags changeFlags
	c := &cobra.Command{
		Use:   "put FILE",
		Short: "Replace the shared document, on all instances or on none",
		Args:  checkArgs(cobra.ExactArgs(1)),
		RunE: func(c *cobra.Command, files []string) error {
			text, err := readText(files[0])
			if err != nil {
				return err
			}
			return a.change(c, flags, admin.ConfigChange{Text: text})
		},
	}
	flags.addTo(c)
	return c
}

func (a *adminFlags) rollbackCommand() *cobra.Command {
	var flags changeFlags
	c := &cobra.Command{
		Use:   "rollback VERSION",
		Short: "Make the text of an earlier version active again, as a new version",
		Args:  checkArgs(cobra.ExactArgs(1)),
		RunE: func(c *cobra.Command, args []string) error {
			version, err := strconv.ParseUint(args[0], 10, 64)
			if err != nil || version == 0 {
				return usageError{fmt.Errorf("invalid version %q: expected a positive whole number", args[0])}
			}
			if flags.reason == "" {
				flags.reason = fmt.Sprintf("back to version %d", version)
			}
			return a.change(c, flags, admin.ConfigChange{RestoredVersion: version})
		},
	}
	flags.addTo(c)
	return c
}

func (a *adminFlags) historyCommand() *cobra.Command {
	var local bool
	c := &cobra.Command{
		Use:   "history",
		Short: "List the versions in the history",
		Args:  checkArgs(cobra.NoArgs),
		RunE: func(c *cobra.Command, _ []string) error {
			client, err := a.client()
			if err != nil {
				return err
			}
			versions, err := client.History(local)
			if err != nil {
				return err
			}
			return a.print(c.OutOrStdout(), versions, func(out *output) {
				var rows []string
				for _, v := range versions {
					at := time.UnixMilli(v.RequestedAtMillis).UTC().Format(time.DateTime)
					rows = append(rows, fmt.Sprintf("%d\t%s\t%s\t%s\t%s", v.Number, at, v.Author, v.Digest, v.Reason))
				}
				out.table("VERSION\tTIME\tAUTHOR\tDIGEST\tREASON", rows)
			})
		},
	}
	addLocalFlag(c, &local)
	return c
}

func addLocalFlag(c *cobra.Command, local *bool) {
	c.Flags().BoolVar(local, "local", false, "read the state of this instance, without confirmation by a majority")
}
