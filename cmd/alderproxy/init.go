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
		Short: "Make this instance's folder the first of a new group",
		Long: "The shared sections of the file become version 1 of the agreed document. Other instances start with empty folders\n" +
			"and are added by \"alderproxy instances add\".",
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
			_, err = fmt.Fprintf(c.OutOrStdout(), "a new group begins with %s and version 1 (%s)\n", file.ID, digest)
			return err
		},
	}
	addConfigFlag(c, &configPath, "the instance's file")
	c.Flags().StringVar(&documentPath, "shared", "", "a file with the first document, in place of the shared sections of the instance's file")
	c.Flags().StringVar(&author, "author", defaultAuthor(), "who begins it")
	return c
}
