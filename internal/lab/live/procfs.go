package live

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
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
func isProcessRunning(pid int) bool { return processState(pid).isRunning() }

// runState is the state of a process as /proc shows it.
type runState byte

const (
	stateExited  runState = 'X' // also of a process that /proc does not show
	stateZombie  runState = 'Z'
	stateStopped runState = 'T'
)

func (s runState) isRunning() bool { return s != stateExited && s != stateZombie }

func processState(pid int) runState {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return stateExited
	}
	_, fields, ok := strings.Cut(string(data), ") ")
	if !ok || fields == "" {
		return stateExited
	}
	return runState(fields[0])
}

const (
	signalEffectTimeout      = time.Second
	signalEffectPollInterval = time.Millisecond
)

// awaitSignalled waits until a signal that was sent to processes has taken effect: until they have exited, have stopped or
// have continued. It does not wait for the effect of a signal that the process handles itself.
func awaitSignalled(signal syscall.Signal, pids ...int) error {
	deadline := time.Now().Add(signalEffectTimeout)
	for _, pid := range pids {
		for !hasTakenEffect(signal, processState(pid)) {
			if time.Now().After(deadline) {
				return fmt.Errorf("process %d: no effect of %v within %v", pid, signal, signalEffectTimeout)
			}
			time.Sleep(signalEffectPollInterval)
		}
	}
	return nil
}

// hasTakenEffect reports whether a process in a state shows the effect of a signal.
func hasTakenEffect(signal syscall.Signal, state runState) bool {
	switch signal {
	case syscall.SIGKILL:
		return !state.isRunning()
	case syscall.SIGSTOP:
		return state == stateStopped || !state.isRunning()
	case syscall.SIGCONT:
		return state != stateStopped
	default:
		return true
	}
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
