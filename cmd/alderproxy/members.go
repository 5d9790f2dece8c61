package main

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"alderproxy/gossip"
)

func membersCommand() *cobra.Command {
	var a adminFlags
	c := &cobra.Command{Use: "members", Short: "Who of the fleet is there, as one instance sees it"}
	a.addFlags(c)
	c.AddCommand(a.listMembersCommand(), a.watchMembersCommand(), a.explainMemberCommand(), a.factsCommand())
	return c
}

// gossipStatus returns the instance's view of the fleet. Where after is the version of a view, the instance waits some
// seconds for another one.
func (a *adminFlags) gossipStatus(after uint64) (gossip.Status, error) {
	client, err := a.client()
	if err != nil {
		return gossip.Status{}, err
	}
	return client.Members(after)
}

func (a *adminFlags) listMembersCommand() *cobra.Command {
	var all bool
	c := &cobra.Command{
		Use:   "list",
		Short: "List the members",
		Args:  checkArgs(cobra.NoArgs),
		RunE: func(c *cobra.Command, _ []string) error {
			status, err := a.gossipStatus(0)
			if err != nil {
				return err
			}
			return a.print(c.OutOrStdout(), status, func(out *output) { printMembers(out, status, all) })
		},
	}
	c.Flags().BoolVar(&all, "all", false, "with those that left or died and are remembered")
	return c
}

func printMembers(out *output, status gossip.Status, all bool) {
	var rows []string
	for _, m := range status.Members {
		if all || m.State == "alive" || m.State == "suspect" {
			rows = append(rows, fmt.Sprintf("%s\t%s\t%s\t%s\t%s\t%s\t%s\t%d", m.Name, m.Zone, m.Addr, m.State, m.Reachability,
				formatAge(m.StateAgeMillis), formatAge(m.LastContactAgeMillis), m.SeenByCount))
		}
	}
	out.table("MEMBER\tZONE\tADDRESS\tSTATE\tREACH\tSINCE\tHEARD\tSEEN BY", rows)
	out.printf("%s sees %d members there, by view %d (%s), %s\n", status.Name, status.AliveCount, status.ViewVersion, status.Digest, formatTrust(status))
}

// formatAge formats a time in milliseconds; below 0: never.
func formatAge(ms int64) string {
	if ms < 0 {
		return "never"
	}
	return (time.Duration(ms) * time.Millisecond).Round(100 * time.Millisecond).String()
}

// formatTrust says how far a view can be relied on.
func formatTrust(status gossip.Status) string {
	switch {
	case status.NameTakenBy != "":
		return "no member: the instance at " + status.NameTakenBy + " has its name"
	case !status.Trusted:
		return "NOT trusted: it may be cut off, and its view stands still"
	}
	return "trusted"
}

func (a *adminFlags) watchMembersCommand() *cobra.Command {
	var changes int
	c := &cobra.Command{
		Use:   "watch",
		Short: "Print what changes, until it is interrupted",
		Args:  checkArgs(cobra.NoArgs),
		RunE:  func(c *cobra.Command, _ []string) error { return a.watchMembers(c, changes) },
	}
	c.Flags().IntVar(&changes, "changes", 0, "end after so many changes (default: go on)")
	return c
}

// watchMembers prints the view and then its changes, of which 0 stands for any number.
func (a *adminFlags) watchMembers(c *cobra.Command, changes int) error {
	status, err := a.gossipStatus(0)
	if err != nil {
		return err
	}
	err = a.print(c.OutOrStdout(), status, func(out *output) {
		out.printf("view %d: %d members there, %s\n", status.ViewVersion, status.AliveCount, formatTrust(status))
	})
	for n := 0; err == nil && (changes == 0 || n < changes); {
		var next gossip.Status
		if next, err = a.gossipStatus(status.ViewVersion); err != nil {
			return err
		}
		if next.ViewVersion == status.ViewVersion {
			continue
		}
		n++
		err = a.print(c.OutOrStdout(), next, func(out *output) {
			out.printf("view %d: %d members there, %s%s\n", next.ViewVersion, next.AliveCount, formatTrust(next), formatChanges(status, next))
		})
		status = next
	}
	return err
}

// formatChanges lists the members whose state, start or reachability differs between two views.
func formatChanges(before, after gossip.Status) string {
	var out strings.Builder
	for _, m := range after.Members {
		old := gossip.Member{State: "unknown", Reachability: m.Reachability}
		if i := slices.IndexFunc(before.Members, func(o gossip.Member) bool { return o.Name == m.Name }); i >= 0 {
			old = before.Members[i]
		}
		switch {
		case old.State != m.State:
			fmt.Fprintf(&out, "; %s %s -> %s (%s)", m.Name, old.State, m.State, cmp.Or(m.StateReason, "started"))
		case old.StartedUnixMillis != m.StartedUnixMillis:
			fmt.Fprintf(&out, "; %s started anew", m.Name)
		case old.Reachability != m.Reachability:
			fmt.Fprintf(&out, "; %s %s -> %s", m.Name, old.Reachability, m.Reachability)
		}
	}
	return out.String()
}

// reachabilityTexts say what each kind of reachability means.
var reachabilityTexts = map[string]string{
	"unknown":        "this instance has had no message from it yet",
	"reachable":      "it and this instance reach each other",
	"one-way":        "it receives this instance's messages, which hears of it through others only",
	"through others": "neither receives the other's messages; others receive them",
	"unreachable":    "no member that was asked received a message from it",
}

func (a *adminFlags) explainMemberCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "explain NAME",
		Short: "Tell all that is known of a member",
		Args:  checkArgs(cobra.ExactArgs(1)),
		RunE: func(c *cobra.Command, args []string) error {
			status, err := a.gossipStatus(0)
			if err != nil {
				return err
			}
			i := slices.IndexFunc(status.Members, func(m gossip.Member) bool { return m.Name == args[0] })
			if i < 0 {
				return fmt.Errorf("%s knows no member %s", status.Name, args[0])
			}
			member := status.Members[i]
			return a.print(c.OutOrStdout(), member, func(out *output) { explainMember(out, status, member) })
		},
	}
}

func explainMember(out *output, status gossip.Status, m gossip.Member) {
	started := time.UnixMilli(m.StartedUnixMillis).UTC().Format(time.DateTime)
	out.printf("%s (zone %q) at %s, started %s\n", m.Name, m.Zone, m.Addr, started)
	out.printf("  %s for %s: %s\n", m.State, formatAge(m.StateAgeMillis), cmp.Or(m.StateReason, "no member has reported it"))
	out.printf("  %s: %s\n", m.Reachability, reachabilityTexts[m.Reachability])
	out.printf("  last message from it to %s: %s ago; in the newest periods it answered %d members that reported it\n",
		status.Name, formatAge(m.LastContactAgeMillis), m.SeenByCount)
	if m.Distrusted {
		out.printf("  distrusted: most of the members that it accused answered\n")
	}
	for _, f := range m.Facts {
		out.printf("  fact %s = %s (version %d)\n", f.Name, f.Value, f.Version)
	}
	out.printf("reported by %s, whose view is %s\n", status.Name, formatTrust(status))
}

// memberFact is a fact with the member that published it.
type memberFact struct {
	Member string `json:"member"`
	gossip.Fact
}

func (a *adminFlags) factsCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "facts",
		Short: "List what the members tell of themselves",
		Args:  checkArgs(cobra.NoArgs),
		RunE: func(c *cobra.Command, _ []string) error {
			status, err := a.gossipStatus(0)
			if err != nil {
				return err
			}
			facts := []memberFact{}
			for _, m := range status.Members {
				for _, f := range m.Facts {
					facts = append(facts, memberFact{m.Name, f})
				}
			}
			return a.print(c.OutOrStdout(), facts, func(out *output) {
				var rows []string
				for _, f := range facts {
					rows = append(rows, fmt.Sprintf("%s\t%s\t%s\t%d", f.Member, f.Name, f.Value, f.Version))
				}
				out.table("MEMBER\tFACT\tVALUE\tVERSION", rows)
			})
		},
	}
}
