package main

import (
	"fmt"
	"io"
	"os"
	"os/user"
	"strings"

	"github.com/spf13/cobra"

	"alderproxy/admin"
	"alderproxy/sharedconfig"
)

// adminFlags holds the flags of a command that calls an instance's admin server.
type adminFlags struct {
	addr      string
	tokenFile string
	json      bool
}

func (a *adminFlags) addFlags(c *cobra.Command) {
	c.PersistentFlags().StringVar(&a.addr, "admin", "127.0.0.1:9400", "address of an instance's admin server")
	c.PersistentFlags().StringVar(&a.tokenFile, "token-file", "", "file that holds the token of the admin server")
	c.PersistentFlags().BoolVar(&a.json, "json", false, "print JSON")
}

func (a *adminFlags) client() (admin.Client, error) {
	client := admin.Client{Addr: a.addr}
	if a.tokenFile != "" {
		text, err := os.ReadFile(a.tokenFile)
		if err != nil {
			return client, err
		}
		client.Token = strings.TrimSpace(string(text))
	}
	return client, nil
}

// print writes value as JSON if the flag is set; otherwise text writes it.
func (a *adminFlags) print(to io.Writer, value any, text func(*output)) error {
	if a.json {
		return writeJSON(to, value)
	}
	out := &output{w: to}
	text(out)
	return out.err
}

// printOutcome prints the outcome of a change or of a command about instances. It returns an error unless it was done.
func (a *adminFlags) printOutcome(to io.Writer, outcome sharedconfig.Outcome) error {
	if outcome.Status == sharedconfig.StatusDone || a.json {
		err := a.print(to, outcome, func(out *output) { printDone(out, outcome) })
		if err != nil || outcome.Status == sharedconfig.StatusDone {
			return err
		}
	}
	switch {
	case outcome.Status == sharedconfig.StatusUnknown && outcome.RequestID != "":
		return fmt.Errorf("unknown whether the change was made: %s (to retry it, give --request %s)", outcome.Reason, outcome.RequestID)
	case outcome.Status == sharedconfig.StatusUnknown:
		return fmt.Errorf("unknown whether the command was executed: %s", outcome.Reason)
	case outcome.RejectedBy != "":
		return fmt.Errorf("%s by %s: %s", outcome.Status, outcome.RejectedBy, outcome.Reason)
	}
	return fmt.Errorf("%s: %s", outcome.Status, outcome.Reason)
}

func printDone(out *output, outcome sharedconfig.Outcome) {
	switch {
	case outcome.Version > 0 && outcome.Reason != "":
		out.printf("version %d is active: %s\n", outcome.Version, outcome.Reason)
	case outcome.Version > 0:
		out.printf("version %d is active\n", outcome.Version)
	case outcome.Reason != "":
		out.printf("%s\n", outcome.Reason)
	default:
		out.printf("done\n")
	}
}

// defaultAuthor returns the author of changes that are made without --author: the name of the user's account.
func defaultAuthor() string {
	if account, err := user.Current(); err == nil {
		return account.Username
	}
	return "unknown"
}
