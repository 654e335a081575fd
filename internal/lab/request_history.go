package lab

import (
	"cmp"
	"fmt"
	"slices"
)

const (
	maxHistoriesPerRule = 20  // violations of a rule that are retained with their history; others are counted only
	maxHistoryEvents    = 100 // events that are retained of a request
	// historyRetentionMS is how long a history is retained after the deadline and the idempotency window: what a server does
	// with the request in that time, for example after a partition, still belongs to the history.
	historyRetentionMS = 5000
	noServer           = -1
)

// requestHistory is what the checker has recorded of a client's attempt, which is a request to the sidecar.
type requestHistory struct {
	id           uint64
	sidecar      int
	class        int
	sentAt       float64
	deadline     float64
	expiresAt    float64 // when the history is dropped
	answered     bool    // it has its final response, or no longer needs one
	respondedBy  map[int]bool
	effectCount  int
	attemptCount int
	openAttempts []openAttempt
	events       []historyEvent
}

// openAttempt is an attempt of a sidecar on an open connection.
type openAttempt struct {
	attempt   int64
	server    int
	startedAt float64
}

type historyEvent struct {
	at     float64
	text   string
	server int // noServer: none
}

// record adds an event.
func (h *requestHistory) record(now float64, text string, server int) {
	if len(h.events) < maxHistoryEvents {
		h.events = append(h.events, historyEvent{now, text, server})
	}
}

// format returns the events as lines, in order of time.
func (h *requestHistory) format() []string {
	sorted := slices.Clone(h.events)
	slices.SortStableFunc(sorted, func(a, b historyEvent) int { return cmp.Compare(a.at, b.at) })
	var lines []string
	for _, event := range sorted {
		line := fmt.Sprintf("%.1f ms: %s", event.at, event.text)
		if event.server >= 0 {
			line += fmt.Sprintf(" server %d", event.server)
		}
		lines = append(lines, line)
	}
	return lines
}
