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
		Short: "Continue from this instance's data directory alone, after a majority is lost for good",
		Long: "The instance must not run. It becomes the only member of a new group that continues from the contents of its data\n" +
			"directory. Without --i-may-lose-changes the command only reports these contents.",
		Args: checkArgs(cobra.NoArgs),
		RunE: func(c *cobra.Command, _ []string) error {
			file, err := config.Load(alderproxy.ConfigPath(configPath))
			if err != nil {
				return err
			}
			if file.Agreement == nil {
				return errors.New("the instance's file has no section [agreement]")
			}
			report, err := raftnode.ReadRecoveryReport(file.DataDirectory, file.ID)
			if err != nil {
				return err
			}
			out := &output{w: c.OutOrStdout()}
			printRecoveryReport(out, file.DataDirectory, report)
			if !confirmed {
				return errors.New("nothing was done: to recover, give --i-may-lose-changes")
			}
			if err := raftnode.RecoverUnsafe(file.DataDirectory, file.ID, file.Agreement.Address); err != nil {
				return err
			}
			out.printf("%s is the only member of a new group: start it, and add the other instances\n", report.Name)
			return out.err
		},
	}
	addConfigFlag(c, &configPath, "path of the instance's file")
	c.Flags().BoolVar(&confirmed, "i-may-lose-changes", false, "recover, although changes may be lost")
	return c
}

func printRecoveryReport(out *output, directory string, report raftnode.RecoveryReport) {
	active := report.State.Active()
	out.printf("data directory %s of %s: %d versions, the active one is %d (digest %s) by %s; the last log entry is %d of term %d\n",
		directory, report.Name, len(report.State.Versions), active.Number, active.Digest, active.Author, report.LastLogIndex, report.LastLogTerm)
	if pending := report.State.PendingChange; pending != nil {
		out.printf("change %s by %s is pending and will be dropped\n", pending.RequestID, pending.Author)
	}
	for _, m := range report.Members {
		if m.Name != report.Name {
			out.printf("%s at %s will no longer be a member: it must start with an empty data directory and be added again\n", m.Name, m.Addr)
		}
	}
	out.printf("WARNING: changes that other instances committed after that entry are lost, and a change that was refused or never\n" +
		"decided may be active. Recover one instance only, the one with the latest last log entry, and only if a majority\n" +
		"will never return.\n")
}
