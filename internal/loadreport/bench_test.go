package loadreport

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"milldeck/internal/placement"
)

// collectorProcessEnv is the environment variable with which the test binary runs as a collector for a benchmark, until
// its standard input is closed.
const collectorProcessEnv = "MILLDECK_COLLECT_CHILD"

func TestMain(m *testing.M) {
	if os.Getenv(collectorProcessEnv) == "" {
		os.Exit(m.Run())
	}
	c := New(Options{})
	c.SetAccepting(true)
	mux := http.NewServeMux()
	mux.Handle("/reports", c)
	mux.HandleFunc("/cpu", func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintln(w, int64(processCPUTime()), c.Counts().Accepted)
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	go func() { _ = http.Serve(listener, mux) }() // until the process ends
	fmt.Println(listener.Addr())
	_, _ = io.Copy(io.Discard, os.Stdin) // until the benchmark closes standard input
}

// processCPUTime returns the CPU time that this process has used on all cores.
func processCPUTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

const fleetSize = 2000

// fleetBatches returns the reports that a fleet sends in a second, in batches of batchSize reports.
func fleetBatches(b *testing.B, batchSize int, counts bool) (bodies [][]byte) {
	rng := rand.New(rand.NewPCG(1, 2))
	var reports []placement.LoadReport
	for i := range fleetSize {
		reports = append(reports, typicalReport(fmt.Sprint("sidecar-", i), rng))
		if !counts {
			reports[i].ClassCounts = nil
		}
	}
	for i := 0; i < fleetSize; i += batchSize {
		bodies = append(bodies, encodeBatch(b, reports[i:i+batchSize]...))
	}
	return bodies
}

// BenchmarkFleetSecond measures the core-seconds that a collector takes for the reports of 2,000 sidecars in a second:
// for its handler alone, and for a separate process with one connection per batch. With one report per batch, there are
// 2,000 connections.
func BenchmarkFleetSecond(b *testing.B) {
	for _, counts := range []bool{false, true} {
		for _, batchSize := range []int{1, 50} {
			name := fmt.Sprintf("counts=%v/batch=%d", counts, batchSize)
			b.Run("handler/"+name, func(b *testing.B) {
				bodies := fleetBatches(b, batchSize, counts)
				c := New(Options{})
				c.SetAccepting(true)
				before := processCPUTime()
				for b.Loop() {
					for _, data := range bodies {
						if code := postBatch(b, c, data); code != http.StatusNoContent {
							b.Fatal(code)
						}
					}
				}
				b.ReportMetric((processCPUTime()-before).Seconds()/float64(b.N), "core-s/fleet-s")
			})
			b.Run("process/"+name, func(b *testing.B) { benchmarkOverSockets(b, fleetBatches(b, batchSize, counts)) })
		}
	}
}

// startCollectorProcess runs the test binary as a collector until the benchmark ends, and returns its address.
func startCollectorProcess(b *testing.B) string {
	b.Helper()
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), collectorProcessEnv+"=1")
	cmd.Stderr = os.Stderr
	stdin, err := cmd.StdinPipe()
	if err != nil {
		b.Fatal(err)
	}
	stdout, err := cmd.StdoutPipe()
	if err != nil {
		b.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() {
		stdin.Close()
		if err := cmd.Wait(); err != nil {
			b.Error(err)
		}
	})
	addr, err := bufio.NewReader(stdout).ReadString('\n')
	if err != nil {
		b.Fatal(err)
	}
	return strings.TrimSpace(addr)
}

// readUsage returns the CPU time of a collector process and the number of reports that it has accepted.
func readUsage(b *testing.B, addr string) (cpuTime time.Duration, accepted int64) {
	b.Helper()
	response, err := http.Get("http://" + addr + "/cpu")
	if err != nil {
		b.Fatal(err)
	}
	defer response.Body.Close()
	ns := int64(0)
	if _, err := fmt.Fscan(response.Body, &ns, &accepted); err != nil {
		b.Fatal(err)
	}
	return time.Duration(ns), accepted
}

// postOverConn sends an encoded request and reads the response into a buffer.
func postOverConn(conn net.Conn, request, buffer []byte) error {
	if _, err := conn.Write(request); err != nil {
		return err
	}
	n, err := conn.Read(buffer)
	if err != nil {
		return err
	}
	if !bytes.HasPrefix(buffer[:n], []byte("HTTP/1.1 204")) {
		return fmt.Errorf("unexpected response %s", buffer[:n])
	}
	return nil
}

func benchmarkOverSockets(b *testing.B, bodies [][]byte) {
	addr := startCollectorProcess(b)
	conns, requests := make([]net.Conn, len(bodies)), make([][]byte, len(bodies))
	for i, body := range bodies {
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			b.Fatal(err)
		}
		b.Cleanup(func() { conn.Close() })
		conns[i] = conn
		requests[i] = append(fmt.Appendf(nil, "POST /reports HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n\r\n", addr, len(body)), body...)
	}
	before, _ := readUsage(b, addr)
	for b.Loop() {
		var workers sync.WaitGroup
		const concurrency = 16 // connections at a time
		for worker := range concurrency {
			workers.Go(func() {
				buffer := make([]byte, 4096)
				for i := worker; i < len(conns); i += concurrency {
					if err := postOverConn(conns[i], requests[i], buffer); err != nil {
						b.Error(err)
						return
					}
				}
			})
		}
		workers.Wait()
	}
	after, accepted := readUsage(b, addr)
	if accepted != int64(b.N)*fleetSize {
		b.Errorf("%d reports accepted in %d rounds", accepted, b.N)
	}
	b.ReportMetric((after-before).Seconds()/float64(b.N), "core-s/fleet-s")
}
