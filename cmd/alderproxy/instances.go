package main

import (
	"fmt"
	"strings"

	"github.com/spf13/cobra"

	"alderproxy/raftnode"
	"alderproxy/sharedconfig"
)

func instancesCommand() *cobra.Command {
	var a adminFlags
	c := &cobra.Command{Use: "instances", Short: "Read and change the group of instances that replicate the shared document"}
	a.addFlags(c)
	c.AddCommand(
		a.listInstancesCommand(),
		a.groupCommand("add ID ADDR", "Add an instance, or change the address of one that has moved", cobra.ExactArgs(2),
			func(args []string) raftnode.Command {
				return raftnode.Command{AddMember: &sharedconfig.Member{Name: args[0], Addr: args[1]}}
			}),
		a.groupCommand("remove ID", "Remove an instance permanently", cobra.ExactArgs(1),
			func(args []string) raftnode.Command { return raftnode.Command{RemoveMember: args[0]} }),
		a.groupCommand("hand-over [ID]", "Transfer the leadership to an instance, or to any voter", cobra.MaximumNArgs(1),
			func(args []string) raftnode.Command {
				successor := strings.Join(args, "")
				return raftnode.Command{TransferLeadershipTo: &successor}
			}),
	)
	return c
}

// groupCommand returns a command-line command that has the leader execute the command that parse returns.
func (a *adminFlags) groupCommand(use, short string, count cobra.PositionalArgs, parse func(given []string) raftnode.Command) *cobra.Command {
	return &cobra.Command{
		Use:   use,
		Short: short,
		Args:  checkArgs(count),
		RunE: func(c *cobra.Command, args []string) error {
			client, err := a.client()
			if err != nil {
				return err
			}
			outcome, err := client.Execute(parse(args))
			if err != nil {
				return err
			}
			return a.printOutcome(c.OutOrStdout(), outcome)
		},
	}
}

func (a *adminFlags) listInstancesCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "list",
		Short: "List the instances of the group, as the one that is asked sees them",
		Args:  checkArgs(cobra.NoArgs),
		RunE: func(c *cobra.Command, _ []string) error {
			client, err := a.client()
			if err != nil {
				return err
			}
			status, err := client.Status()
			if err != nil {
				return err
			}
			return a.print(c.OutOrStdout(), status, func(out *output) { printInstances(out, status) })
		},
	}
}

func printInstances(out *output, status raftnode.Status) {
	var rows []string
	for _, m := range status.Members {
		rows = append(rows, fmt.Sprintf("%s\t%s\t%s\t%s\t%s", m.Name, m.Addr, yesOrNo(m.Voter), yesOrNo(m.Name == status.Leader), m.DirectoryID))
	}
	out.table("INSTANCE\tADDRESS\tVOTE\tLEADS\tFOLDER", rows)
	out.printf("%s serves version %d of %d; term %d", status.Name, status.ServedVersion, status.ActiveVersion, status.Term)
	if status.NotCoveredReason != "" {
		out.printf("; not serving under a lease: %s", status.NotCoveredReason)
	}
	out.printf("\n")
}

func yesOrNo(is bool) string {
	if is {
		return "yes"
	}
	return "no"
}
