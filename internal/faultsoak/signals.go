package faultsoak

import (
	"context"
	"fmt"
	"os"
	"syscall"
	"time"

	"milldeck/internal/lab/proc"
)

// signalSeries is in what order signals come.
type signalSeries string

const (
	seriesPlain            signalSeries = "alone"
	seriesReloadBefore     signalSeries = "SIGHUP just before"
	seriesReloadAfter      signalSeries = "SIGHUP just after"
	seriesTwice            signalSeries = "twice"
	seriesUnreadableFile   signalSeries = "while the file cannot be read"
	seriesEarlyTermination signalSeries = "SIGTERM to the successor as it starts"
	seriesEarlyKill        signalSeries = "SIGKILL to the successor as it starts"
)

var (
	terminationSeries = []signalSeries{seriesPlain, seriesReloadBefore, seriesReloadAfter, seriesTwice, seriesEarlyTermination, seriesEarlyKill}
	reloadSeries      = []signalSeries{seriesPlain, seriesTwice, seriesUnreadableFile}
)

const (
	secondTermAfter   = 300 * time.Millisecond
	secondReloadAfter = 2 * time.Millisecond
	unreadableFor     = 300 * time.Millisecond
	earlySignalAfter  = 15 * time.Millisecond // a sidecar is ready some time later
)

// send sends the signals of a termination. Of a process that has ended there is nothing to end.
func (series signalSeries) send(process *proc.Process) {
	if series == seriesReloadBefore {
		_ = process.Signal(syscall.SIGHUP)
	}
	_ = process.Signal(syscall.SIGTERM)
	switch series {
	case seriesReloadAfter:
		_ = process.Signal(syscall.SIGHUP)
	case seriesTwice:
		time.AfterFunc(secondTermAfter, func() { _ = process.Signal(syscall.SIGTERM) })
	default:
	}
}

// early is the signal that a successor gets as it starts; nil: none.
func (series signalSeries) early() os.Signal {
	switch series {
	case seriesEarlyTermination:
		return syscall.SIGTERM
	case seriesEarlyKill:
		return syscall.SIGKILL
	default:
		return nil
	}
}

// startInterrupted starts a process and ends it before it is ready. It has to end in time, however early SIGTERM comes.
func (s *sidecar) startInterrupted(ctx context.Context, signal os.Signal) error {
	process, err := s.launch()
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.expectedExit = true
	s.mu.Unlock()
	time.Sleep(earlySignalAfter)
	_ = process.Signal(signal.(syscall.Signal)) // it may have ended by itself, which its successor will as well
	select {
	case <-process.Done():
	case <-ctx.Done():
	case <-time.After(s.killAfter):
		s.records.violate("start", "", fmt.Sprintf("sidecar %d does not end on %v as it starts: %s", s.number, signal, lastLine(process.Log())))
	}
	s.markKilled()
	process.Kill()
	s.collectInjected()
	return nil
}
