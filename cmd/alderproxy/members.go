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
	c := &cobra.Command{Use: "members", Short: "Show the members of the fleet, as one instance sees them"}
	a.addFlags(c)
	c.AddCommand(a.listMembersCommand(), a.watchMembersCommand(), a.explainMemberCommand(), a.factsCommand())
	return c
}

// gossipStatus returns the instance's view of the fleet. If after is not 0, the instance waits up to five seconds for a view
// of another version.
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
	c.Flags().BoolVar(&all, "all", false, "include members that have left or died and are not forgotten yet")
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
	out.printf("%s sees %d members present (view %d, digest %s); %s\n", status.Name, status.AliveCount, status.ViewVersion, status.Digest, formatTrust(status))
}

// formatAge formats an age in milliseconds. A negative age means never.
func formatAge(ms int64) string {
	if ms < 0 {
		return "never"
	}
	return (time.Duration(ms) * time.Millisecond).Round(100 * time.Millisecond).String()
}

// formatTrust says whether a view can be relied on.
func formatTrust(status gossip.Status) string {
	switch {
	case status.NameTakenBy != "":
		return "it is not a member: the instance at " + status.NameTakenBy + " owns its name"
	case !status.Trusted:
		return "the view is NOT trusted: the instance may be isolated and declares no member dead"
	}
	return "the view is trusted"
}

func (a *adminFlags) watchMembersCommand() *cobra.Command {
	var changes int
	c := &cobra.Command{
		Use:   "watch",
		Short: "Print changes of the view until interrupted",
		Args:  checkArgs(cobra.NoArgs),
		RunE:  func(c *cobra.Command, _ []string) error { return a.watchMembers(c, changes) },
	}
	c.Flags().IntVar(&changes, "changes", 0, "number of changes after which to end (default: no limit)")
	return c
}

// watchMembers prints the view and then its changes, up to a number of them; 0 means no limit.
func (a *adminFlags) watchMembers(c *cobra.Command, changes int) error {
	status, err := a.gossipStatus(0)
	if err != nil {
		return err
	}
	err = a.print(c.OutOrStdout(), status, func(out *output) {
		out.printf("view %d: %d members present; %s\n", status.ViewVersion, status.AliveCount, formatTrust(status))
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
			out.printf("view %d: %d members present; %s%s\n", next.ViewVersion, next.AliveCount, formatTrust(next), formatChanges(status, next))
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
			fmt.Fprintf(&out, "; %s restarted", m.Name)
		case old.Reachability != m.Reachability:
			fmt.Fprintf(&out, "; %s %s -> %s", m.Name, old.Reachability, m.Reachability)
		}
	}
	return out.String()
}

// reachabilityTexts explain the values of membership.Reachability by their names. The reporting instance is the one whose
// view is shown.
var reachabilityTexts = map[string]string{
	"unknown":        "no probe has determined it yet",
	"reachable":      "messages arrive in both directions",
	"one-way":        "the reporting instance's messages arrive; this member's acks come through helpers only",
	"through others": "the reporting instance's messages are not known to arrive, but helpers reach this member",
	"unreachable":    "neither the reporting instance nor a helper reaches this member, or it is dead or left",
}

func (a *adminFlags) explainMemberCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "explain NAME",
		Short: "Show everything that an instance knows about a member",
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
	out.printf("  %s for %s: %s\n", m.State, formatAge(m.StateAgeMillis), cmp.Or(m.StateReason, "its state has not changed"))
	out.printf("  %s: %s\n", m.Reachability, reachabilityTexts[m.Reachability])
	out.printf("  time since the last message directly from it to %s: %s; members known to have recently received an ack or sent a refutation of it: %d\n",
		status.Name, formatAge(m.LastContactAgeMillis), m.SeenByCount)
	if m.Distrusted {
		out.printf("  distrusted: its accusations are ignored because too many of them were refuted\n")
	}
	for _, f := range m.Facts {
		out.printf("  fact %s = %s (version %d)\n", f.Name, f.Value, f.Version)
	}
	out.printf("reported by %s; %s\n", status.Name, formatTrust(status))
}

// memberFact is a fact and the name of the member that published it.
type memberFact struct {
	Member string `json:"member"`
	gossip.Fact
}

func (a *adminFlags) factsCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "facts",
		Short: "List the facts that members publish about themselves",
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
