package main

import (
	"errors"

	"github.com/spf13/cobra"

	"alderproxy"
	"alderproxy/config"
	"alderproxy/raftnode"
)

func recoverCommand() *cobra.Command {
	var configPath string
	var confirmed bool
	c := &cobra.Command{
		Use:   "recover --config FILE",
		Short: "Go on from this instance's folder alone, when a majority is gone for good",
		Long: "The instance must not run. It becomes the only member of a new group with what its folder holds. Without\n" +
			"--i-may-lose-changes it only tells what that is.",
		Args: checkArgs(cobra.NoArgs),
		RunE: func(c *cobra.Command, _ []string) error {
			file, err := config.Load(alderproxy.ConfigPath(configPath))
			if err != nil {
				return err
			}
			if file.Agreement == nil {
				return errors.New("the file has no [agreement]")
			}
			report, err := raftnode.Examine(file.DataDirectory, file.ID)
			if err != nil {
				return err
			}
			out := &output{w: c.OutOrStdout()}
			printRecoveryReport(out, file.DataDirectory, report)
			if !confirmed {
				return errors.New("nothing was done: give --i-may-lose-changes to go on")
			}
			if err := raftnode.RecoverUnsafe(file.DataDirectory, file.ID, file.Agreement.Address); err != nil {
				return err
			}
			out.printf("%s is the only member of a new group; start it, and add the others\n", report.Name)
			return out.err
		},
	}
	addConfigFlag(c, &configPath, "the instance's file")
	c.Flags().BoolVar(&confirmed, "i-may-lose-changes", false, "do it")
	return c
}

func printRecoveryReport(out *output, directory string, report raftnode.RecoveryReport) {
	active := report.State.Active()
	out.printf("folder %s of %s: %d versions, the newest is %d (%s) by %s; the log ends at entry %d of term %d\n",
		directory, report.Name, len(report.State.Versions), active.Number, active.Digest, active.Author, report.LastLogIndex, report.Term)
	if pending := report.State.PendingChange; pending != nil {
		out.printf("change %s by %s is pending: it will be dropped\n", pending.RequestID, pending.Author)
	}
	for _, m := range report.Members {
		if m.Name != report.Name {
			out.printf("%s at %s will be no member any more: it must start with an empty folder and be added\n", m.Name, m.Addr)
		}
	}
	out.printf("WARNING: changes that the others agreed on behind that entry are lost, and one that was refused or never\n" +
		"decided may be in force. Do this on one instance only, the one whose log ends latest, and only if a majority\n" +
		"will not come back.\n")
}
