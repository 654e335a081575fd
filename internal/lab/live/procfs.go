package live

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
)

// childProcesses returns the running child processes of a process.
func childProcesses(pid int) []int {
	var running []int
	paths, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/children", pid)) // the pattern is well-formed
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			continue // the thread has exited
		}
		for _, text := range strings.Fields(string(data)) {
			if child, err := strconv.Atoi(text); err == nil && isProcessRunning(child) {
				running = append(running, child)
			}
		}
	}
	return running
}

// isProcessRunning reports whether a process is running. A zombie is not.
func isProcessRunning(pid int) bool {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return false
	}
	_, fields, ok := strings.Cut(string(data), ") ")
	return ok && fields != "" && fields[0] != 'Z' && fields[0] != 'X'
}

// unitOfProcess returns the unit and the version of a process, from the process's environment. Both are empty if the
// process belongs to no unit.
func unitOfProcess(pid int) (unit, version string) {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/environ", pid))
	if err != nil {
		return "", ""
	}
	for entry := range strings.SplitSeq(string(content), "\x00") {
		switch key, value, _ := strings.Cut(entry, "="); key {
		case unitEnv:
			unit = value
		case versionEnv:
			version = value
		}
	}
	return unit, version
}
