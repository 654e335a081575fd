package shim

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// roleVariable makes the test binary run as the launcher or as the program under the shim.
const roleVariable = "MILLDECK_SHIM_TEST_ROLE"

const (
	testTimeout   = 30 * time.Second
	clockReaders  = 8
	clockReadings = 50000 // of each reader
	signalSenders = 3
)

func TestMain(m *testing.M) {
	switch os.Getenv(roleVariable) {
	case "launcher":
		if err := os.Setenv(roleVariable, "program"); err != nil {
			panic(err)
		}
		fmt.Fprintln(os.Stderr, Exec(os.Args[0], nil, os.Environ(), NotifyDescriptor, ReleaseDescriptor))
		os.Exit(1)
	case "program":
		program()
	default:
		os.Exit(m.Run())
	}
}

// program runs the command in each line of its input and prints the result: the wall clock and the time since the start of the
// program for "clock", the error for "dial ADDRESS" and "accept".
func program() {
	start := time.Now()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	fmt.Println(listener.Addr())
	input := bufio.NewScanner(os.Stdin)
	for input.Scan() {
		command, argument, _ := strings.Cut(input.Text(), " ")
		switch command {
		case "clock":
			fmt.Println(time.Now().UnixMilli(), time.Since(start).Milliseconds())
		case "dial":
			conn, err := net.Dial("tcp", argument)
			if err == nil {
				conn.Close()
			}
			fmt.Println(err)
		case "accept":
			conn, err := listener.Accept()
			if err == nil {
				conn.Close()
			}
			fmt.Println(err)
		case "clocks":
			fmt.Println(countWrongClocks(start))
		}
	}
}

// countWrongClocks reads the wall clock from several threads at once and returns how many readings are an hour or more after start.
func countWrongClocks(start time.Time) int64 {
	var wrong atomic.Int64
	var readers sync.WaitGroup
	for range clockReaders {
		readers.Go(func() {
			for range clockReadings {
				if elapsedMS := time.Now().UnixMilli() - start.UnixMilli(); elapsedMS < 0 || elapsedMS >= time.Hour.Milliseconds() {
					wrong.Add(1)
				}
			}
		})
	}
	readers.Wait()
	return wrong.Load()
}

type shimmedProgram struct {
	t          *testing.T
	supervisor *Supervisor
	input      *os.File
	output     *bufio.Reader
	address    string
}

func startProgram(t *testing.T) *shimmedProgram {
	t.Helper()
	pipes, err := NewPipes()
	if err != nil {
		t.Fatal(err)
	}
	defer pipes.Close()
	stdin, input, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	output, stdout, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	command := exec.CommandContext(ctx, os.Args[0])
	command.Env = append(os.Environ(), roleVariable+"=launcher")
	command.Stdin, command.Stdout, command.Stderr = stdin, stdout, os.Stderr
	command.ExtraFiles = []*os.File{pipes.ChildNotify, pipes.ChildRelease}
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	stdin.Close()
	stdout.Close()
	t.Cleanup(func() {
		input.Close()
		if err := command.Wait(); err != nil {
			t.Errorf("the program exited with %v", err)
		}
		output.Close()
		cancel()
	})
	pipes.ChildNotify.Close()
	supervisor, err := Supervise(command.Process.Pid, pipes.Notify, pipes.Release)
	if err != nil {
		t.Fatal(err)
	}
	started := &shimmedProgram{t: t, supervisor: supervisor, input: input, output: bufio.NewReader(output)}
	started.address = started.readLine()
	return started
}

func (p *shimmedProgram) readLine() string {
	p.t.Helper()
	line, err := p.output.ReadString('\n')
	if err != nil {
		p.t.Fatal(err)
	}
	return strings.TrimSpace(line)
}

func (p *shimmedProgram) command(line string) string {
	p.t.Helper()
	if _, err := fmt.Fprintln(p.input, line); err != nil {
		p.t.Fatal(err)
	}
	return p.readLine()
}

func (p *shimmedProgram) clocks() (wall, sinceStart time.Duration) {
	p.t.Helper()
	var wallMS, sinceStartMS int64
	if _, err := fmt.Sscan(p.command("clock"), &wallMS, &sinceStartMS); err != nil {
		p.t.Fatal(err)
	}
	return time.Duration(wallMS) * time.Millisecond, time.Duration(sinceStartMS) * time.Millisecond
}

// StepClock steps the wall clock forward and backward and does not change the monotonic clock.
func TestClockSteps(t *testing.T) {
	program := startProgram(t)
	for _, step := range []time.Duration{time.Hour, -2 * time.Hour, time.Hour} {
		wallBefore, sinceStartBefore := program.clocks()
		program.supervisor.StepClock(step)
		wall, sinceStart := program.clocks()
		if moved := wall - wallBefore; moved < step || moved > step+testTimeout {
			t.Errorf("a step of %v moves the wall clock by %v", step, moved)
		}
		if moved := sinceStart - sinceStartBefore; moved < 0 || moved > testTimeout {
			t.Errorf("a step of %v moves the monotonic clock by %v", step, moved)
		}
	}
}

// A call fails while a rule applies and works again afterwards. Failed calls are counted.
func TestCallsFailWhileRuleApplies(t *testing.T) {
	program := startProgram(t)
	peer, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { peer.Close() })
	dial := "dial " + peer.Addr().String()
	for _, call := range []Call{Connect, Socket} {
		if got := program.command(dial); got != "<nil>" {
			t.Fatalf("dial before the rule: %s", got)
		}
		program.supervisor.AddRule(Rule{Call: call, Errno: syscall.ENETUNREACH, Share: 1, Until: time.Now().Add(testTimeout)})
		if got := program.command(dial); !strings.Contains(got, syscall.ENETUNREACH.Error()) {
			t.Errorf("dial while %v fails: %s", call, got)
		}
		program.supervisor.clear()
	}
	program.supervisor.AddRule(Rule{Call: Accept, Errno: syscall.ENOBUFS, Share: 1, Until: time.Now().Add(testTimeout)})
	if got := program.command("accept"); !strings.Contains(got, syscall.ENOBUFS.Error()) {
		t.Errorf("accept while the rule applies: %s", got)
	}
	program.supervisor.clear()
	conn, err := net.Dial("tcp", program.address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if got := program.command("accept"); got != "<nil>" {
		t.Errorf("accept after the rule: %s", got)
	}
	if got := program.supervisor.InjectedFailures()["accept4 ENOBUFS"]; got != 1 {
		t.Errorf("%d failed calls counted, want 1", got)
	}
}

// clear removes all rules.
func (s *Supervisor) clear() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rules = nil
}

// signalAllThreads sends SIGURG to each thread of this process until stop is closed. The Go runtime sends this signal to
// preempt goroutines, and ignores it.
func signalAllThreads(t *testing.T, stop <-chan struct{}) {
	for {
		threads, err := os.ReadDir("/proc/self/task")
		if err != nil {
			t.Error(err)
			return
		}
		for _, thread := range threads {
			id, err := strconv.Atoi(thread.Name())
			if err != nil {
				t.Error(err)
				return
			}
			_ = unix.Tgkill(os.Getpid(), id, unix.SIGURG) // fails only if the thread has ended
		}
		select {
		case <-stop:
			return
		default:
		}
	}
}

// Signals that arrive while the supervisor polls for, receives or answers a notification neither end it nor leave a call
// without an answer.
func TestSupervisorSurvivesSignals(t *testing.T) {
	program := startProgram(t)
	stop := make(chan struct{})
	var signalling sync.WaitGroup
	for range signalSenders {
		signalling.Go(func() { signalAllThreads(t, stop) })
	}
	wrong := program.command("clocks")
	close(stop)
	signalling.Wait()
	if wrong != "0" {
		t.Errorf("%s readings of the wall clock failed", wrong)
	}
	if got := program.command("dial " + program.address); got != "<nil>" {
		t.Errorf("after the signals: dial: %s", got)
	}
}
