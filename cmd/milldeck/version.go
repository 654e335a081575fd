package main

import (
	"encoding/json"
	"fmt"
	"runtime"
	"runtime/debug"

	"github.com/spf13/cobra"
)

// buildInfo is what `version --json` prints.
type buildInfo struct {
	Version  string `json:"version"`
	Go       string `json:"go"`
	Platform string `json:"platform"`
	Commit   string `json:"commit,omitempty"`
	Time     string `json:"time,omitempty"`
	Modified bool   `json:"modified"`
}

func readBuild() buildInfo {
	b := buildInfo{Version: "unknown", Go: runtime.Version(), Platform: runtime.GOOS + "/" + runtime.GOARCH}
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return b
	}
	b.Version = info.Main.Version
	for _, s := range info.Settings {
		switch s.Key {
		case "vcs.revision":
			b.Commit = s.Value
		case "vcs.time":
			b.Time = s.Value
		case "vcs.modified":
			b.Modified = s.Value == "true"
		}
	}
	return b
}

func newVersion() *cobra.Command {
	var asJSON bool
	c := &cobra.Command{
		Use:   "version",
		Short: "Prints what build this is",
		Long:  "version prints what build this is, from the build information of the program.\n\n" + exitHelp,
		Args:  exactly(0),
		RunE: func(c *cobra.Command, _ []string) error {
			b := readBuild()
			if asJSON {
				return json.NewEncoder(c.OutOrStdout()).Encode(b)
			}
			_, err := fmt.Fprintf(c.OutOrStdout(), "milldeck %s %s %s\n", b.Version, b.Go, b.Platform)
			return err
		},
	}
	c.Flags().BoolVar(&asJSON, "json", false, "print one JSON object")
	return c
}
