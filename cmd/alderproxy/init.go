package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"alderproxy"
	"alderproxy/config"
)

func initCommand() *cobra.Command {
	var configPath, documentPath, author string
	c := &cobra.Command{
		Use:   "init --config FILE",
		Short: "Bootstrap a new group in this instance's data directory",
		Long: "The shared sections of the file become version 1 of the shared document. Other instances start with empty data\n" +
			"directories and are added by \"alderproxy instances add\".",
		Args: checkArgs(cobra.NoArgs),
		RunE: func(c *cobra.Command, _ []string) error {
			file, err := config.Load(alderproxy.ConfigPath(configPath))
			if err != nil {
				return err
			}
			text := file.DocumentText
			if documentPath != "" {
				if text, err = readText(documentPath); err != nil {
					return err
				}
			}
			digest, err := alderproxy.Init(file, text, author)
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(c.OutOrStdout(), "bootstrapped a new group: member %s, version 1 (digest %s)\n", file.ID, digest)
			return err
		},
	}
	addConfigFlag(c, &configPath, "path of the instance's file")
	c.Flags().StringVar(&documentPath, "shared", "", "file with version 1 of the shared document, in place of the shared sections of the instance's file")
	c.Flags().StringVar(&author, "author", defaultAuthor(), "author of version 1 in the history")
	return c
}
