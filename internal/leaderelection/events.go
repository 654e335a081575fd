package leaderelection

import (
	"log/slog"
	"time"
)

// EventType says what happened to a candidate.
type EventType string

// The types of events. `milldeck duty hold` prints these values.
const (
	Waiting           EventType = "waiting"  // the candidate has a place in the queue, or its place has changed
	Acquired          EventType = "acquired" // the candidate holds the lease and starts its work
	Renewed           EventType = "renewed"
	StepDownRequested EventType = "asked"
	Lost              EventType = "lost"     // the lease expired, was revoked or is held by another candidate
	Stopped           EventType = "stopped"  // the work has returned and the lease is no longer valid
	Released          EventType = "released" // the registry has confirmed the release
)

// The outcomes of the trial writes of `milldeck duty hold --save-every`, which prints them in the form of events. Run does
// not report them.
const (
	CheckpointSaved    EventType = "saved"
	CheckpointRejected EventType = "refused" // the token was no longer valid
	CheckpointUnknown  EventType = "unknown" // no answer arrived
)

// Event reports one event of a candidate. At is when the event happened, not when it was reported. A holder is Stopped
// before it sends its release, and Released when it has received the answer; the next holder may have started by then.
type Event struct {
	Type          EventType `json:"what"`
	Lease         string    `json:"duty"`
	Candidate     string    `json:"who"`
	Token         uint64    `json:"token,omitempty"` // 0 while waiting
	At            time.Time `json:"at"`
	ValidUntil    time.Time `json:"until,omitzero"`  // when the holder must have stopped its work unless the lease is renewed
	QueuePosition int       `json:"place,omitempty"` // for Waiting, from 1; 0: the candidate is not queued
}

// eventKey is the attribute of the type in a line of LogEvent.
const eventKey = "what"

// LogEvent logs an event of a lease, except renewals. Operators and tests search the log for LogMarker(Acquired).
func LogEvent(event Event) {
	if event.Type == Renewed {
		return
	}
	slog.Info("lease event", eventKey, event.Type, "lease", event.Lease, "token", event.Token)
}

// LogMarker returns the part of a line of LogEvent by which a reader finds events of a type.
func LogMarker(eventType EventType) string { return eventKey + "=" + string(eventType) + " " }
