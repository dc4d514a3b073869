package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run, with the time since the start.
type record struct {
	started time.Time

	mu   sync.Mutex
	file *os.File
	out  *bufio.Writer
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path) //nolint:gosec // the path is given by the case's script
	if err != nil {
		return nil, err
	}
	return &record{started: time.Now(), file: file, out: bufio.NewWriter(file)}, nil
}

// note adds a line. who is the party that sent, answered or ran something.
func (r *record) note(who, format string, arguments ...any) {
	line := fmt.Sprintf(format, arguments...)
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%9.3f  %-12s %s\n", time.Since(r.started).Seconds(), who, line)
}

// say adds a line and prints it.
func (r *record) say(format string, arguments ...any) {
	r.note("case", format, arguments...)
	fmt.Printf("%7.2f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, arguments...))
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
