package main

import (
	"flag"
	"fmt"
	"os"
	"strings"
)

func main() {
	list := flag.String("list", "KNOWN-RED.txt", "file with the list of known failures")
	skip := flag.String("skip", "", "output file for the pattern of the tests to skip")
	commands := flag.String("commands", "", "output file for the commands of the entries, one per line")
	flag.Parse()
	if err := runList(*list, *skip, *commands); err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", *list, err)
		os.Exit(1)
	}
}

// runList runs the commands of the list, and writes the files from which .ci/run reads which tests and commands to
// skip.
func runList(list, skip, commands string) error {
	text, err := os.ReadFile(list)
	if err != nil {
		return err
	}
	entries, err := parseList(string(text))
	if err != nil {
		return err
	}
	if err := runAll(os.Stdout, entries, runInShell); err != nil {
		return err
	}
	var lines strings.Builder
	for i := range entries {
		fmt.Fprintln(&lines, entries[i].Command)
	}
	for path, content := range map[string]string{skip: skipPattern(entries), commands: lines.String()} {
		if path == "" {
			continue
		}
		if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
			return err
		}
	}
	return nil
}
