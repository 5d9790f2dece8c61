package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/user"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pmezard/go-difflib/difflib"
	"github.com/spf13/cobra"

	"alderproxy"
	"alderproxy/admin"
	"alderproxy/config"
	"alderproxy/raftnode"
	"alderproxy/sharedconfig"
)

// operator is what all commands that talk to an instance have.
type operator struct {
	addr, tokenFile string
	json            bool
}

func (o *operator) flags(c *cobra.Command) {
	c.PersistentFlags().StringVar(&o.addr, "admin", "127.0.0.1:9400", "an instance's operators' address")
	c.PersistentFlags().StringVar(&o.tokenFile, "token-file", "", "a file with the operators' token")
	c.PersistentFlags().BoolVar(&o.json, "json", false, "print JSON")
}

func (o *operator) client() (admin.Client, error) {
	c := admin.Client{Addr: o.addr}
	if o.tokenFile != "" {
		text, err := os.ReadFile(o.tokenFile)
		if err != nil {
			return c, err
		}
		c.Token = strings.TrimSpace(string(text))
	}
	return c, nil
}

// print writes a value as JSON, or has words written.
func (o *operator) print(out io.Writer, v any, words func(io.Writer)) error {
	if o.json {
		e := json.NewEncoder(out)
		e.SetIndent("", "  ")
		return e.Encode(v)
	}
	words(out)
	return nil
}

// ended prints what became of an order; what was not done is an error.
func (o *operator) ended(c *cobra.Command, out sharedconfig.Outcome, err error) error {
	if err != nil {
		return err
	}
	if out.Status == sharedconfig.Done || o.json {
		err = o.print(c.OutOrStdout(), out, func(w io.Writer) {
			switch {
			case out.Version > 0 && out.Why != "":
				fmt.Fprintf(w, "version %d is active: %s\n", out.Version, out.Why)
			case out.Version > 0:
				fmt.Fprintf(w, "version %d is active\n", out.Version)
			case out.Why != "":
				fmt.Fprintln(w, out.Why)
			default:
				fmt.Fprintln(w, "done")
			}
		})
	}
	switch {
	case err != nil || out.Status == sharedconfig.Done:
		return err
	case out.Status == sharedconfig.Unknown && out.Request != "":
		return fmt.Errorf("unknown whether it was made: %s (ask again with --request %s)", out.Why, out.Request)
	case out.Status == sharedconfig.Unknown:
		return fmt.Errorf("unknown whether it was done: %s", out.Why)
	case out.Instance != "":
		return fmt.Errorf("%s: %s says: %s", out.Status, out.Instance, out.Why)
	}
	return fmt.Errorf("%s: %s", out.Status, out.Why)
}

// author is who gives the orders, as the history will tell.
func author() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

func initialize() *cobra.Command {
	var path, shared, by string
	c := &cobra.Command{
		Use: "init --config FILE", Short: "Make this instance's folder the first of a new group",
		Long: "The shared sections of the file become version 1 of the agreed document. Other instances start with empty folders\n" +
			"and are added by \"alderproxy instances add\".",
		Args: args(cobra.NoArgs), RunE: func(c *cobra.Command, _ []string) error {
			file, err := config.Load(alderproxy.ConfigPath(path))
			if err != nil {
				return err
			}
			text := file.DocumentText
			if shared != "" {
				if text, err = readText(shared); err != nil {
					return err
				}
			}
			digest, err := alderproxy.Init(file, text, by)
			if err == nil {
				fmt.Fprintf(c.OutOrStdout(), "a new group begins with %s and version 1 (%s)\n", file.ID, digest)
			}
			return err
		},
	}
	c.Flags().StringVar(&path, "config", "", "the instance's file")
	c.MarkFlagFilename("config", "ini")
	c.Flags().StringVar(&shared, "shared", "", "a file with the first document, in place of the shared sections of the instance's file")
	c.Flags().StringVar(&by, "author", author(), "who begins it")
	return c
}

func configuration() *cobra.Command {
	var o operator
	c := &cobra.Command{Use: "config", Short: "Read and change the agreed document"}
	o.flags(c)
	c.AddCommand(o.show(), o.diff(), o.put(), o.history(), o.rollback())
	return c
}

func (o *operator) show() *cobra.Command {
	var version uint64
	var local bool
	c := &cobra.Command{
		Use: "show", Short: "Print the active version, or another one", Args: args(cobra.NoArgs),
		RunE: func(c *cobra.Command, _ []string) error {
			client, err := o.client()
			if err != nil {
				return err
			}
			v, err := client.Show(version, local)
			if err != nil {
				return err
			}
			return o.print(c.OutOrStdout(), v, func(w io.Writer) { io.WriteString(w, v.Text) })
		},
	}
	c.Flags().Uint64Var(&version, "version", 0, "the version (default: the active one)")
	c.Flags().BoolVar(&local, "local", false, "as this instance has it, without asking the others")
	return c
}

func (o *operator) diff() *cobra.Command {
	return &cobra.Command{
		Use: "diff FILE", Short: "Print what putting a file would change", Args: args(cobra.ExactArgs(1)),
		RunE: func(c *cobra.Command, files []string) error {
			client, err := o.client()
			if err != nil {
				return err
			}
			text, err := readText(files[0])
			if err != nil {
				return err
			}
			v, err := client.Show(0, false)
			if err != nil {
				return err
			}
			d, err := difflib.GetUnifiedDiffString(difflib.UnifiedDiff{
				A: difflib.SplitLines(v.Text), B: difflib.SplitLines(text),
				FromFile: fmt.Sprintf("version %d", v.Number), ToFile: files[0], Context: 3,
			})
			if err != nil {
				return err
			}
			return o.print(c.OutOrStdout(), struct {
				Version uint64 `json:"version"`
				Diff    string `json:"diff"`
			}{v.Number, d}, func(w io.Writer) { io.WriteString(w, d) })
		},
	}
}

// changeFlags are those of commands that change the document.
type changeFlags struct {
	expect                  uint64
	author, reason, request string
}

func (f *changeFlags) flags(c *cobra.Command) {
	c.Flags().Uint64Var(&f.expect, "expect", 0, "the version that the change is made for (default: the active one)")
	c.Flags().StringVar(&f.author, "author", author(), "who makes it")
	c.Flags().StringVar(&f.reason, "reason", "", "why")
	c.Flags().StringVar(&f.request, "request", "", "the name of a change that was asked for before: it is not made twice")
}

func (o *operator) change(c *cobra.Command, f changeFlags, p admin.Put) error {
	client, err := o.client()
	if err != nil {
		return err
	}
	if p.Expect = f.expect; p.Expect == 0 {
		v, err := client.Show(0, false)
		if err != nil {
			return err
		}
		p.Expect = v.Number
	}
	if p.Request = f.request; p.Request == "" {
		p.Request = admin.NewRequest()
	}
	p.Author, p.Reason = f.author, f.reason
	out, err := client.Put(p)
	if errors.Is(err, admin.ErrUnreachable) {
		out, err = sharedconfig.Outcome{Request: p.Request, Why: err.Error()}, nil
	}
	return o.ended(c, out, err)
}

func (o *operator) put() *cobra.Command {
	var f changeFlags
	c := &cobra.Command{
		Use: "put FILE", Short: "Replace the agreed document: everywhere or nowhere", Args: args(cobra.ExactArgs(1)),
		RunE: func(c *cobra.Command, files []string) error {
			text, err := readText(files[0])
			if err != nil {
				return err
			}
			return o.change(c, f, admin.Put{Text: text})
		},
	}
	f.flags(c)
	return c
}

func (o *operator) rollback() *cobra.Command {
	var f changeFlags
	c := &cobra.Command{
		Use: "rollback VERSION", Short: "Bring back a version that is kept, as a new one", Args: args(cobra.ExactArgs(1)),
		RunE: func(c *cobra.Command, given []string) error {
			n, err := strconv.ParseUint(given[0], 10, 64)
			if err != nil || n == 0 {
				return usage{fmt.Errorf("%q is no version", given[0])}
			}
			if f.reason == "" {
				f.reason = fmt.Sprintf("back to version %d", n)
			}
			return o.change(c, f, admin.Put{Restores: n})
		},
	}
	f.flags(c)
	return c
}

func (o *operator) history() *cobra.Command {
	var local bool
	c := &cobra.Command{
		Use: "history", Short: "List the versions that are kept", Args: args(cobra.NoArgs),
		RunE: func(c *cobra.Command, _ []string) error {
			client, err := o.client()
			if err != nil {
				return err
			}
			all, err := client.History(local)
			if err != nil {
				return err
			}
			return o.print(c.OutOrStdout(), all, func(w io.Writer) {
				t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
				fmt.Fprintln(t, "VERSION\tTIME\tAUTHOR\tDIGEST\tREASON")
				for _, v := range all {
					fmt.Fprintf(t, "%d\t%s\t%s\t%s\t%s\n", v.Number, time.UnixMilli(v.At).UTC().Format(time.DateTime), v.Author, v.Digest, v.Reason)
				}
				t.Flush()
			})
		},
	}
	c.Flags().BoolVar(&local, "local", false, "as this instance has it, without asking the others")
	return c
}

func instances() *cobra.Command {
	var o operator
	c := &cobra.Command{Use: "instances", Short: "Read and change who holds the agreed document"}
	o.flags(c)
	order := func(use, short string, n cobra.PositionalArgs, make func(given []string) raftnode.Command) *cobra.Command {
		return &cobra.Command{Use: use, Short: short, Args: args(n), RunE: func(c *cobra.Command, given []string) error {
			client, err := o.client()
			if err != nil {
				return err
			}
			out, err := client.Order(make(given))
			return o.ended(c, out, err)
		}}
	}
	c.AddCommand(o.list(),
		order("add ID ADDR", "Take an instance in, or give one that has moved its new address", cobra.ExactArgs(2), func(given []string) raftnode.Command {
			return raftnode.Command{Add: &sharedconfig.Member{Name: given[0], Addr: given[1]}}
		}),
		order("remove ID", "Remove an instance for good", cobra.ExactArgs(1), func(given []string) raftnode.Command { return raftnode.Command{Remove: given[0]} }),
		order("hand-over [ID]", "Give the lead to an instance, or to any", cobra.MaximumNArgs(1), func(given []string) raftnode.Command {
			to := strings.Join(given, "")
			return raftnode.Command{HandOver: &to}
		}))
	return c
}

func (o *operator) list() *cobra.Command {
	return &cobra.Command{
		Use: "list", Short: "List the instances, as the one that is asked sees them", Args: args(cobra.NoArgs),
		RunE: func(c *cobra.Command, _ []string) error {
			client, err := o.client()
			if err != nil {
				return err
			}
			s, err := client.Status()
			if err != nil {
				return err
			}
			return o.print(c.OutOrStdout(), s, func(w io.Writer) {
				t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
				fmt.Fprintln(t, "INSTANCE\tADDRESS\tVOTE\tLEADS\tFOLDER")
				for _, m := range s.Members {
					fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\n", m.Name, m.Addr, yes(m.Voter), yes(m.Name == s.Leader), m.Folder)
				}
				t.Flush()
				fmt.Fprintf(w, "%s serves version %d of %d; term %d", s.Name, s.Serving, s.Version, s.Term)
				if s.Why != "" {
					fmt.Fprintf(w, "; not as agreed: %s", s.Why)
				}
				fmt.Fprintln(w)
			})
		},
	}
}

func yes(is bool) string {
	if is {
		return "yes"
	}
	return "no"
}
