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
	c := &cobra.Command{Use: "instances", Short: "Read and change who holds the agreed document"}
	a.addFlags(c)
	c.AddCommand(
		a.listInstancesCommand(),
		a.groupCommand("add ID ADDR", "Take an instance in, or give one that has moved its new address", cobra.ExactArgs(2),
			func(args []string) raftnode.Command {
				return raftnode.Command{Add: &sharedconfig.Member{Name: args[0], Addr: args[1]}}
			}),
		a.groupCommand("remove ID", "Remove an instance for good", cobra.ExactArgs(1),
			func(args []string) raftnode.Command { return raftnode.Command{Remove: args[0]} }),
		a.groupCommand("hand-over [ID]", "Give the lead to an instance, or to any", cobra.MaximumNArgs(1),
			func(args []string) raftnode.Command {
				successor := strings.Join(args, "")
				return raftnode.Command{TransferLeadership: &successor}
			}),
	)
	return c
}

// groupCommand returns a command that has the leader execute a command about the group's instances.
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
		Short: "List the instances, as the one that is asked sees them",
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
	out.printf("%s serves version %d of %d; term %d", status.Name, status.Serving, status.Version, status.Term)
	if status.Reason != "" {
		out.printf("; not as agreed: %s", status.Reason)
	}
	out.printf("\n")
}

func yesOrNo(is bool) string {
	if is {
		return "yes"
	}
	return "no"
}
