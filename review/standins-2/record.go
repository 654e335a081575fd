package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run, each line with the seconds since the start. It is safe for concurrent use.
type record struct {
	startedAt time.Time

	mu   sync.Mutex
	file *os.File
	out  *bufio.Writer
}

func openRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{startedAt: time.Now(), file: file, out: bufio.NewWriter(file)}, nil
}

// detailf writes a line into the file only.
func (r *record) detailf(format string, args ...any) {
	line := fmt.Sprintf("%9.3f ", time.Since(r.startedAt).Seconds()) + fmt.Sprintf(format, args...)
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, err := fmt.Fprintln(r.out, line); err != nil {
		fmt.Fprintln(os.Stderr, "record:", err)
	}
}

// printf writes a line into the file and to standard output.
func (r *record) printf(format string, args ...any) {
	r.detailf(format, args...)
	fmt.Printf(format+"\n", args...)
}

// at returns the seconds from the start of the record to a time.
func (r *record) at(t time.Time) float64 { return t.Sub(r.startedAt).Seconds() }

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.out.Flush(); err != nil {
		fmt.Fprintln(os.Stderr, "record:", err)
	}
	if err := r.file.Close(); err != nil {
		fmt.Fprintln(os.Stderr, "record:", err)
	}
}
