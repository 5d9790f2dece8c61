package main

import (
	"errors"
	"fmt"

	"github.com/spf13/cobra"

	"alderproxy"
	"alderproxy/config"
	"alderproxy/raftnode"
)

func recovery() *cobra.Command {
	var path string
	var sure bool
	c := &cobra.Command{
		Use: "recover --config FILE", Short: "Go on from this instance's folder alone, when a majority is gone for good",
		Long: "The instance must not run. It becomes the only member of a new group with what its folder holds. Without\n" +
			"--i-may-lose-changes it only tells what that is.",
		Args: args(cobra.NoArgs), RunE: func(c *cobra.Command, _ []string) error {
			file, err := config.Load(alderproxy.ConfigPath(path))
			if err != nil {
				return err
			}
			if file.Agreement == nil {
				return errors.New("the file has no [agreement]")
			}
			r, err := raftnode.Examine(file.DataDirectory, file.ID)
			if err != nil {
				return err
			}
			out := c.OutOrStdout()
			v := r.State.Active()
			fmt.Fprintf(out, "folder %s of %s: %d versions, the newest is %d (%s) by %s; the log ends at entry %d of term %d\n",
				file.DataDirectory, r.Name, len(r.State.Versions), v.Number, v.Digest, v.Author, r.Last, r.Term)
			if r.State.Pending != nil {
				fmt.Fprintf(out, "change %s by %s is pending: it will be dropped\n", r.State.Pending.Request, r.State.Pending.Author)
			}
			for _, m := range r.Members {
				if m.Name != r.Name {
					fmt.Fprintf(out, "%s at %s will be no member any more: it must start with an empty folder and be added\n", m.Name, m.Addr)
				}
			}
			fmt.Fprintln(out, "WARNING: changes that the others agreed on behind that entry are lost, and one that was refused or never\n"+
				"decided may be in force. Do this on one instance only, the one whose log ends latest, and only if a majority\nwill not come back.")
			if !sure {
				return errors.New("nothing was done: give --i-may-lose-changes to go on")
			}
			if err := raftnode.RecoverUnsafe(file.DataDirectory, file.ID, file.Agreement.Address); err != nil {
				return err
			}
			fmt.Fprintf(out, "%s is the only member of a new group; start it, and add the others\n", r.Name)
			return nil
		},
	}
	c.Flags().StringVar(&path, "config", "", "the instance's file")
	c.MarkFlagFilename("config", "ini")
	c.Flags().BoolVar(&sure, "i-may-lose-changes", false, "do it")
	return c
}
