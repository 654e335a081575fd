package leaderelection

import "time"

// EventType says what happened to a candidate.
type EventType string

// The types of events. Their values stand in what `milldeck duty hold` prints.
const (
	Waiting           EventType = "waiting"  // it has a place in the queue, or a new one
	Acquired          EventType = "acquired" // it holds the lease and begins to work
	Renewed           EventType = "renewed"
	StepDownRequested EventType = "asked"
	Lost              EventType = "lost"     // the lease expired, was revoked or is another's
	Stopped           EventType = "stopped"  // the work has returned and the lease is no longer valid
	Released          EventType = "released" // the registry has confirmed the release
)

// The outcomes of the trial writes that `milldeck duty hold --save-every` prints in the same form; Run does not report
// them.
const (
	CheckpointSaved    EventType = "saved"
	CheckpointRejected EventType = "refused" // the token was no longer valid
	CheckpointUnknown  EventType = "unknown" // no answer came
)

// Event reports one step of a candidate. At is when the step happened, not when it was reported: a holder is Stopped
// before it sends its release, and Released when it has the answer, by which time the next holder may have begun.
type Event struct {
	Type          EventType `json:"what"`
	Lease         string    `json:"duty"`
	Candidate     string    `json:"who"`
	Token         uint64    `json:"token,omitempty"` // 0 while waiting
	At            time.Time `json:"at"`
	ValidUntil    time.Time `json:"until,omitzero"`  // when the holder stops unless the lease is renewed
	QueuePosition int       `json:"place,omitempty"` // from 1, of Waiting; 0: it has no place in the queue
}
