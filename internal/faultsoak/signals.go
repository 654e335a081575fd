package faultsoak

import (
	"context"
	"fmt"
	"os"
	"syscall"
	"time"

	"milldeck/internal/lab/proc"
)

// signalSequence is the sequence of signals that a termination or reload sends.
type signalSequence string

const (
	sequencePlain            signalSequence = "alone"
	sequenceReloadBefore     signalSequence = "SIGHUP just before"
	sequenceReloadAfter      signalSequence = "SIGHUP just after"
	sequenceTwice            signalSequence = "twice"
	sequenceUnreadableFile   signalSequence = "while the file cannot be read"
	sequenceEarlyTermination signalSequence = "SIGTERM to the successor as it starts"
	sequenceEarlyKill        signalSequence = "SIGKILL to the successor as it starts"
)

var (
	terminationSequences = []signalSequence{sequencePlain, sequenceReloadBefore, sequenceReloadAfter, sequenceTwice, sequenceEarlyTermination, sequenceEarlyKill}
	reloadSequences      = []signalSequence{sequencePlain, sequenceTwice, sequenceUnreadableFile}
)

const (
	secondTermAfter   = 300 * time.Millisecond
	secondReloadAfter = 2 * time.Millisecond
	unreadableFor     = 300 * time.Millisecond
	earlySignalAfter  = 15 * time.Millisecond // before the sidecar is ready
)

// send sends the signals of a termination. It ignores errors: they mean that the process has exited.
func (sequence signalSequence) send(process *proc.Process) {
	if sequence == sequenceReloadBefore {
		_ = process.Signal(syscall.SIGHUP)
	}
	_ = process.Signal(syscall.SIGTERM)
	switch sequence {
	case sequenceReloadAfter:
		_ = process.Signal(syscall.SIGHUP)
	case sequenceTwice:
		time.AfterFunc(secondTermAfter, func() { _ = process.Signal(syscall.SIGTERM) })
	default:
	}
}

// startupSignal returns the signal that the next process gets while it starts; nil: none.
func (sequence signalSequence) startupSignal() os.Signal {
	switch sequence {
	case sequenceEarlyTermination:
		return syscall.SIGTERM
	case sequenceEarlyKill:
		return syscall.SIGKILL
	default:
		return nil
	}
}

// startInterrupted starts a process and sends it a signal before it is ready. The process has to exit within killAfter, even if
// SIGTERM arrives this early.
func (s *sidecar) startInterrupted(ctx context.Context, signal os.Signal) error {
	process, err := s.launch()
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.expectedExit = true
	s.mu.Unlock()
	time.Sleep(earlySignalAfter)
	_ = process.Signal(signal.(syscall.Signal)) // fails only if the process has exited; then the next process exits, too
	select {
	case <-process.Done():
	case <-ctx.Done():
	case <-time.After(s.killAfter):
		s.records.addViolation("start", "", fmt.Sprintf("sidecar %d does not end on %v as it starts: %s", s.number, signal, lastLine(process.Log())))
	}
	s.markKilled()
	process.Kill()
	s.collectInjected()
	return nil
}
