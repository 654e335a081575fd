// Package table is the replicated core of duties: who holds what only one process may do at a time, under which
// token, and who is next. It has no clock and no sockets: the same operations in the same order give the same table
// on every replica. That a lease has ended is an operation like any other, which the leader decides.
package table

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// Bounds of what the table keeps.
const (
	MaxDuties     = 10_000
	MaxQueue      = 1000
	MaxCheckpoint = 4096 // bytes: where work goes on, not the work itself
	MaxFalls      = 16   // candidates of a duty whose short tenures are counted, the latest
	MostFalls     = 8    // that are counted of one: no wait grows further
	MaxName       = 128

	MinTTLMS = 500         // shorter leases do not outlive an election
	MaxTTLMS = 3600 * 1000 // longer than an hour is no lease
)

// A holder stops so long before its lease ends: what it began has to be over by then, and a scheduler that keeps it
// waiting for a moment must not carry it past the end.
const (
	marginPart  = 0.1
	leastMargin = 50 * time.Millisecond
)

// Margin is how long before the end of a lease its holder stops.
func Margin(ttl time.Duration) time.Duration {
	return max(time.Duration(marginPart*float64(ttl)), leastMargin)
}

// Duty is one duty. Token is the log's index at which the holder got it; it only rises.
type Duty struct {
	Name    string   `json:"name"`
	Holder  string   `json:"holder,omitempty"`
	Token   uint64   `json:"token"`
	TTLMS   int64    `json:"ttl_ms"`
	Queue   []string `json:"queue,omitempty"` // candidates in order
	Next    string   `json:"next,omitempty"`  // a candidate that goes before the queue
	Asked   bool     `json:"asked,omitempty"` // the holder is to step down
	Revoked bool     `json:"revoked,omitempty"`
	Changes uint64   `json:"changes"` // of its holder
	Rev     uint64   `json:"rev"`     // of its last change

	Checkpoint      []byte `json:"checkpoint,omitempty"`
	CheckpointToken uint64 `json:"checkpoint_token,omitempty"` // under which it was written

	Falls []Fall `json:"falls,omitempty"` // the latest last
}

// Fall counts the short tenures of a candidate since its last long one. The table does nothing by it: the leader has who
// fell several times wait before its next seek goes into the log, so versions that do not know of falls agree on the rest.
type Fall struct {
	Who   string `json:"who"`
	N     int    `json:"n"`
	Token uint64 `json:"token"` // of the last of them
}

// Fallen is how many short tenures a candidate has had since its last long one.
func (d *Duty) Fallen(who string) Fall {
	for _, f := range d.Falls {
		if f.Who == who {
			return f
		}
	}
	return Fall{Who: who}
}

// Kind is what an operation does.
type Kind string

// The operations.
const (
	Seek       Kind = "seek"       // Who gets the duty or a place in its queue; TTLMS
	Release    Kind = "release"    // Who gives it up under Token, or its place in the queue
	Lapse      Kind = "lapse"      // the lease of Who under Token has ended; Token 0: its place in the queue
	Handover   Kind = "handover"   // the holder is asked to step down for To, a candidate
	Takeaway   Kind = "takeaway"   // what the holder does under its token counts no more
	Checkpoint Kind = "checkpoint" // Who writes Data under Token
)

// Op is one operation.
type Op struct {
	Kind  Kind   `json:"kind"`
	Name  string `json:"name"`
	Who   string `json:"who,omitempty"`
	Token uint64 `json:"token,omitempty"`
	TTLMS int64  `json:"ttl_ms,omitempty"`
	To    string `json:"to,omitempty"`
	Data  []byte `json:"data,omitempty"`
	Short bool   `json:"short,omitempty"` // of a release or lapse: the tenure was short, by the leader's clock
}

// FieldError is what is wrong with an operation: the field and why.
type FieldError struct{ Field, Why string }

func (e *FieldError) Error() string { return e.Field + ": " + e.Why }

// Check tells which field cannot be, before the operation goes into the log.
func (o *Op) Check() error {
	needsWho := o.Kind != Handover && o.Kind != Takeaway
	switch {
	case !slices.Contains([]Kind{Seek, Release, Lapse, Handover, Takeaway, Checkpoint}, o.Kind):
		return &FieldError{"kind", fmt.Sprintf("%q is no operation", o.Kind)}
	case o.Name == "" || len(o.Name) > MaxName:
		return &FieldError{"name", fmt.Sprintf("%d characters, wanted 1 to %d", len(o.Name), MaxName)}
	case needsWho && o.Who == "" || len(o.Who) > MaxName:
		return &FieldError{"who", fmt.Sprintf("%d characters, wanted 1 to %d", len(o.Who), MaxName)}
	case o.Kind == Handover && o.To == "":
		return &FieldError{"to", "a handover names its candidate"}
	case o.Kind == Seek && (o.TTLMS < MinTTLMS || o.TTLMS > MaxTTLMS):
		return &FieldError{"ttl_ms", fmt.Sprintf("%d is not within %d to %d", o.TTLMS, MinTTLMS, MaxTTLMS)}
	case len(o.Data) > MaxCheckpoint:
		return &FieldError{"data", fmt.Sprintf("%d bytes, at most %d", len(o.Data), MaxCheckpoint)}
	}
	return nil
}

// Outcome says what became of an operation.
type Outcome string

// The outcomes.
const (
	Done     Outcome = "done"
	Stale    Outcome = "stale" // another holds the duty, or the same under another token
	NotFound Outcome = "not_found"
	TooMany  Outcome = "too_many"
)

// Table is all duties. It is not safe for concurrent use.
type Table struct {
	duties map[string]*Duty
	rev    uint64
}

// New is an empty table.
func New() *Table { return &Table{duties: map[string]*Duty{}} }

// Load puts duties back, as Save gave them.
func Load(list []*Duty) *Table {
	t := New()
	for _, d := range list {
		t.duties[d.Name] = d
		t.rev = max(t.rev, d.Rev)
	}
	return t
}

// Save gives all duties by name. They are shared: nobody changes them.
func (t *Table) Save() []*Duty {
	out := make([]*Duty, 0, len(t.duties))
	for _, name := range slices.Sorted(maps.Keys(t.duties)) {
		out = append(out, t.duties[name])
	}
	return out
}

// Rev is the index of the last change.
func (t *Table) Rev() uint64 { return t.rev }

// Get is one duty; its slices are shared and never changed in place.
func (t *Table) Get(name string) (Duty, bool) {
	d := t.duties[name]
	if d == nil {
		return Duty{}, false
	}
	return *d, true
}

// Holds tells whether a token still counts: what a guarded write asks.
func (t *Table) Holds(name string, token uint64) bool {
	d := t.duties[name]
	return d != nil && token != 0 && d.Holder != "" && d.Token == token && !d.Revoked
}

// Apply takes in an operation of the log. Index is its place there, which only grows.
func (t *Table) Apply(index uint64, o *Op) (Outcome, string) {
	old := t.duties[o.Name]
	if old == nil {
		if o.Kind != Seek {
			if o.Kind == Release || o.Kind == Lapse {
				return Done, "" // nothing is held
			}
			return NotFound, "there is no duty " + o.Name
		}
		if len(t.duties) >= MaxDuties {
			return TooMany, fmt.Sprintf("there are %d duties", len(t.duties))
		}
		old = &Duty{Name: o.Name, TTLMS: o.TTLMS}
	}
	d := *old // copied, so that who has read the old one keeps it as it was
	d.Queue, d.Falls = slices.Clone(old.Queue), slices.Clone(old.Falls)
	outcome, why := d.do(index, o)
	if outcome == Done && !same(&d, old) {
		d.Rev, t.rev = index, index
		t.duties[o.Name] = &d
	}
	return outcome, why
}

func same(a, b *Duty) bool {
	return a.Holder == b.Holder && a.Token == b.Token && a.TTLMS == b.TTLMS && a.Next == b.Next && a.Asked == b.Asked &&
		a.Revoked == b.Revoked && a.CheckpointToken == b.CheckpointToken && slices.Equal(a.Queue, b.Queue) &&
		slices.Equal(a.Falls, b.Falls) &&
		slices.Equal(a.Checkpoint, b.Checkpoint)
}

func (d *Duty) do(index uint64, o *Op) (Outcome, string) {
	holds := d.Holder != "" && d.Holder == o.Who && d.Token == o.Token
	switch o.Kind {
	case Seek:
		return d.seek(index, o)
	case Release, Lapse:
		if holds {
			d.count(o)
			d.pass(index)
		} else if o.Token == 0 && o.Who != d.Holder {
			d.leave(o.Who)
		}
		return Done, "" // a repeat, or what was lost already
	case Handover:
		if !slices.Contains(d.Queue, o.To) {
			return NotFound, o.To + " is no candidate"
		}
		d.Next, d.Asked = o.To, true
		return Done, ""
	case Takeaway:
		if d.Holder == "" {
			return NotFound, "nobody holds " + d.Name
		}
		d.Revoked, d.Asked = true, true
		return Done, ""
	case Checkpoint:
		if !holds || d.Revoked {
			return Stale, d.heldBy()
		}
		d.Checkpoint, d.CheckpointToken = o.Data, o.Token
		return Done, ""
	}
	return Stale, fmt.Sprintf("unknown operation %q", o.Kind) // of a later version: all replicas of this one skip it
}

func (d *Duty) heldBy() string {
	switch {
	case d.Holder == "":
		return "nobody holds " + d.Name
	case d.Revoked:
		return d.Name + " was taken away"
	}
	return fmt.Sprintf("%s is held by %s under token %d", d.Name, d.Holder, d.Token)
}

func (d *Duty) seek(index uint64, o *Op) (Outcome, string) {
	switch {
	case d.Holder == o.Who || slices.Contains(d.Queue, o.Who):
		return Done, "" // a client that asks again does not wait for itself
	case len(d.Queue) >= MaxQueue:
		return TooMany, fmt.Sprintf("%d candidates wait", len(d.Queue))
	}
	d.Queue = append(d.Queue, o.Who)
	if d.Holder == "" {
		d.TTLMS = o.TTLMS
		d.pass(index)
	}
	return Done, ""
}

// pass gives the duty to the next in line, in the same entry of the log in which it became free.
func (d *Duty) pass(index uint64) {
	next := d.Next
	if !slices.Contains(d.Queue, next) {
		next = ""
		if len(d.Queue) > 0 {
			next = d.Queue[0]
		}
	}
	d.leave(next)
	d.Holder, d.Token, d.Next, d.Asked, d.Revoked = next, index, "", false, false
	d.Changes++
}

// count takes into account how long the holder that goes has held. Who was asked to, or had it taken away, did not fall.
func (d *Duty) count(o *Op) {
	if d.Asked || d.Revoked {
		return
	}
	n := d.Fallen(o.Who).N
	d.Falls = slices.DeleteFunc(d.Falls, func(f Fall) bool { return f.Who == o.Who })
	if o.Short {
		d.Falls = append(d.Falls, Fall{o.Who, min(n+1, MostFalls), o.Token})
		d.Falls = d.Falls[max(0, len(d.Falls)-MaxFalls):]
	}
}

func (d *Duty) leave(who string) {
	if i := slices.Index(d.Queue, who); i >= 0 {
		d.Queue = slices.Delete(d.Queue, i, i+1)
	}
}
