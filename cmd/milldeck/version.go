package main

import (
	"encoding/json"
	"fmt"
	"runtime"
	"runtime/debug"

	"github.com/spf13/cobra"
)

// buildInfo is the output of `milldeck version --json`.
type buildInfo struct {
	Version  string `json:"version"`
	Go       string `json:"go"`
	Platform string `json:"platform"`
	Commit   string `json:"commit,omitempty"`
	Time     string `json:"time,omitempty"`
	Modified bool   `json:"modified"`
}

func readBuild() buildInfo {
	build := buildInfo{Version: "unknown", Go: runtime.Version(), Platform: runtime.GOOS + "/" + runtime.GOARCH}
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return build
	}
	build.Version = info.Main.Version
	for _, setting := range info.Settings {
		switch setting.Key {
		case "vcs.revision":
			build.Commit = setting.Value
		case "vcs.time":
			build.Time = setting.Value
		case "vcs.modified":
			build.Modified = setting.Value == "true"
		}
	}
	return build
}

func newVersion() *cobra.Command {
	var asJSON bool
	command := &cobra.Command{
		Use:   "version",
		Short: "Prints the version and build of this program",
		Long: "version prints the version, Go version and platform, from the build information in the executable.\n\n" +
			exitHelp,
		Args: exactArgs(0),
		RunE: func(command *cobra.Command, _ []string) error {
			build := readBuild()
			if asJSON {
				return json.NewEncoder(command.OutOrStdout()).Encode(build)
			}
			_, err := fmt.Fprintf(command.OutOrStdout(), "milldeck %s %s %s\n", build.Version, build.Go, build.Platform)
			return err
		},
	}
	command.Flags().BoolVar(&asJSON, "json", false, "print one JSON object")
	return command
}
