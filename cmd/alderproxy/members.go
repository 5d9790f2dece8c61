package main

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"alderproxy/gossip"
)

func members() *cobra.Command {
	var o operator
	c := &cobra.Command{Use: "members", Short: "Who of the fleet is there, as one instance sees it"}
	o.flags(c)
	c.AddCommand(o.listMembers(), o.watchMembers(), o.explainMember(), o.facts())
	return c
}

// fleet asks the instance.
func (o *operator) fleet(after uint64) (gossip.Status, error) {
	client, err := o.client()
	if err != nil {
		return gossip.Status{}, err
	}
	return client.Members(after)
}

func span(ms int64) string {
	if ms < 0 {
		return "never"
	}
	return (time.Duration(ms) * time.Millisecond).Round(100 * time.Millisecond).String()
}

// trust words how far a view can be relied on.
func trust(s gossip.Status) string {
	switch {
	case s.NameTakenBy != "":
		return "no member: the instance at " + s.NameTakenBy + " has its name"
	case !s.Trusted:
		return "NOT trusted: it may be cut off, and its view stands still"
	}
	return "trusted"
}

func (o *operator) listMembers() *cobra.Command {
	var all bool
	c := &cobra.Command{Use: "list", Short: "List the members", Args: args(cobra.NoArgs), RunE: func(c *cobra.Command, _ []string) error {
		s, err := o.fleet(0)
		if err != nil {
			return err
		}
		return o.print(c.OutOrStdout(), s, func(w io.Writer) {
			t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
			fmt.Fprintln(t, "MEMBER\tZONE\tADDRESS\tSTATE\tREACH\tSINCE\tHEARD\tSEEN BY")
			for _, m := range s.Members {
				if all || m.State == "alive" || m.State == "suspect" {
					fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%d\n", m.Name, m.Zone, m.Addr, m.State, m.Reachability, span(m.StateAgeMillis), span(m.LastContactAgeMillis), m.SeenByCount)
				}
			}
			t.Flush()
			fmt.Fprintf(w, "%s sees %d members there, by view %d (%s), %s\n", s.Name, s.AliveCount, s.ViewVersion, s.Digest, trust(s))
		})
	}}
	c.Flags().BoolVar(&all, "all", false, "with those that left or died and are remembered")
	return c
}

func (o *operator) watchMembers() *cobra.Command {
	var times int
	c := &cobra.Command{
		Use: "watch", Short: "Print what changes, until it is interrupted", Args: args(cobra.NoArgs),
		RunE: func(c *cobra.Command, _ []string) error {
			s, err := o.fleet(0)
			if err != nil {
				return err
			}
			if err := o.print(c.OutOrStdout(), s, func(w io.Writer) {
				fmt.Fprintf(w, "view %d: %d members there, %s\n", s.ViewVersion, s.AliveCount, trust(s))
			}); err != nil {
				return err
			}
			for n := 0; times == 0 || n < times; {
				next, err := o.fleet(s.ViewVersion)
				if err != nil {
					return err
				}
				if next.ViewVersion == s.ViewVersion {
					continue
				}
				n++
				o.print(c.OutOrStdout(), next, func(w io.Writer) {
					fmt.Fprintf(w, "view %d: %d members there, %s%s\n", next.ViewVersion, next.AliveCount, trust(next), differences(s, next))
				})
				s = next
			}
			return nil
		},
	}
	c.Flags().IntVar(&times, "changes", 0, "end after so many changes (default: go on)")
	return c
}

// differences words what one view has and another has not.
func differences(was, is gossip.Status) string {
	var out strings.Builder
	for _, m := range is.Members {
		before := gossip.Member{State: "unknown", Reachability: m.Reachability}
		if i := slices.IndexFunc(was.Members, func(o gossip.Member) bool { return o.Name == m.Name }); i >= 0 {
			before = was.Members[i]
		}
		switch {
		case before.State != m.State:
			fmt.Fprintf(&out, "; %s %s -> %s (%s)", m.Name, before.State, m.State, cmp.Or(m.StateReason, "started"))
		case before.StartedUnixMillis != m.StartedUnixMillis:
			fmt.Fprintf(&out, "; %s started anew", m.Name)
		case before.Reachability != m.Reachability:
			fmt.Fprintf(&out, "; %s %s -> %s", m.Name, before.Reachability, m.Reachability)
		}
	}
	return out.String()
}

// reaches says what each way to be reached means.
var reaches = map[string]string{
	"unknown":        "this instance has had no word from it yet",
	"reachable":      "it and this instance hear each other",
	"one-way":        "it hears this instance, which hears of it through others only",
	"through others": "neither hears the other; others hear it",
	"unreachable":    "nobody that was asked heard it",
}

func (o *operator) explainMember() *cobra.Command {
	return &cobra.Command{
		Use: "explain NAME", Short: "Tell all that is known of a member", Args: args(cobra.ExactArgs(1)),
		RunE: func(c *cobra.Command, given []string) error {
			s, err := o.fleet(0)
			if err != nil {
				return err
			}
			i := slices.IndexFunc(s.Members, func(m gossip.Member) bool { return m.Name == given[0] })
			if i < 0 {
				return fmt.Errorf("%s knows no member %s", s.Name, given[0])
			}
			m := s.Members[i]
			return o.print(c.OutOrStdout(), m, func(w io.Writer) {
				fmt.Fprintf(w, "%s (zone %q) at %s, started %s\n", m.Name, m.Zone, m.Addr, time.UnixMilli(m.StartedUnixMillis).UTC().Format(time.DateTime))
				fmt.Fprintf(w, "  %s for %s: %s\n", m.State, span(m.StateAgeMillis), cmp.Or(m.StateReason, "nothing was said against it"))
				fmt.Fprintf(w, "  %s: %s\n", m.Reachability, reaches[m.Reachability])
				fmt.Fprintf(w, "  word from it to %s: %s ago; in the newest periods it answered %d members that told so\n", s.Name, span(m.LastContactAgeMillis), m.SeenByCount)
				if m.Distrusted {
					fmt.Fprintln(w, "  doubted: most of those whom it accused answered")
				}
				for _, f := range m.Facts {
					fmt.Fprintf(w, "  fact %s = %s (version %d)\n", f.Name, f.Value, f.Version)
				}
				fmt.Fprintf(w, "told by %s, whose view is %s\n", s.Name, trust(s))
			})
		},
	}
}

func (o *operator) facts() *cobra.Command {
	return &cobra.Command{
		Use: "facts", Short: "List what the members tell of themselves", Args: args(cobra.NoArgs),
		RunE: func(c *cobra.Command, _ []string) error {
			s, err := o.fleet(0)
			if err != nil {
				return err
			}
			type line struct {
				Member string `json:"member"`
				gossip.Fact
			}
			all := []line{}
			for _, m := range s.Members {
				for _, f := range m.Facts {
					all = append(all, line{m.Name, f})
				}
			}
			return o.print(c.OutOrStdout(), all, func(w io.Writer) {
				t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
				fmt.Fprintln(t, "MEMBER\tFACT\tVALUE\tVERSION")
				for _, l := range all {
					fmt.Fprintf(t, "%s\t%s\t%s\t%d\n", l.Member, l.Name, l.Value, l.Version)
				}
				t.Flush()
			})
		},
	}
}
