// Command umberctl is part of the router for language-model traffic.
package main

import (
	"os"

	"github.com/spf13/cobra"
)

func main() {
	command := &cobra.Command{Use: "umberctl", SilenceUsage: true}
	if err := command.Execute(); err != nil {
		os.Exit(1)
	}
}
