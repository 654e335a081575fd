package disruption

import (
	"fmt"
	"math"
	"slices"
	"strings"
)

// Bounds of what the ledger keeps. Beyond them an operation is refused; nothing that counts as out is dropped to make
// room (see MaxLost).
const (
	MaxUnits       = 250_000 // the list and the sidecars hold at most 100,000 each, the rest is lost
	MaxLost        = 10_000  // beyond it the oldest are dropped, and the fleet is halted until an operator has looked
	MaxBudgets     = 256     // each new unit is held against all of them
	MaxPermits     = 4096    // that are not over
	MaxPermitUnits = 1000
	MaxKept        = 4096 // that are over, for repeats of lost answers
	MaxHalts       = 1024
	MaxSeen        = 10_000 // units in one operation
	MaxName        = 160    // characters: a name of the list and its kind
	MaxText        = 512    // characters of a purpose or a reason

	maxCapacity = 1000 // as in the list
	operators   = "operator/"
	ofBudget    = "budget/"
)

// Operator tells whether an owner is a person: one needs no duty, and may halt, resume, release and forget.
func Operator(owner string) bool { return strings.HasPrefix(owner, operators) }

func bad(field, format string, args ...any) error {
	return &FieldError{field, fmt.Sprintf(format, args...)}
}

func name(field, s string) error {
	if s == "" || len(s) > MaxName {
		return bad(field, "%d characters, wanted 1 to %d", len(s), MaxName)
	}
	return nil
}

func text(field, s string) error {
	if len(s) > MaxText {
		return bad(field, "over %d characters", MaxText)
	}
	return nil
}

func first(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// Check tells which field of an operation cannot be, whatever the ledger holds. It is meant for before the log: what
// it refuses is refused by Apply as well.
func (op *Op) Check() error {
	switch op.Kind {
	case OpBudget:
		if op.Budget == nil {
			return bad("budget", "it is missing")
		}
		return first(people(op), op.Budget.Check())
	case OpAsk:
		if op.Permit == nil {
			return bad("permit", "it is missing")
		}
		return op.Permit.check(op.Owner)
	case OpBegin, OpReturn, OpCancel, OpSettle, OpRelease:
		if op.Permit == nil {
			return bad("permit", "it is missing")
		}
		if op.Kind == OpRelease {
			return first(name("permit.id", op.Permit.ID), people(op))
		}
		return first(name("permit.id", op.Permit.ID), name("owner", op.Owner), names("units", op.Units, 0), op.successors())
	case OpHalt, OpResume:
		if op.Halt == nil {
			return bad("halt", "it is missing")
		}
		return first(name("owner", op.Owner), text("halt.scope", op.Halt.Scope), text("halt.why", op.Halt.Why))
	case OpSee:
		return op.seen()
	case OpForget:
		return first(people(op), names("units", op.Units, 1))
	default:
		return bad("kind", "%q is no operation", op.Kind)
	}
}

func people(op *Op) error {
	if !Operator(op.Owner) {
		return bad("owner", "%q is no operator", op.Owner)
	}
	return name("owner", op.Owner)
}

func names(field string, list []string, least int) error {
	if len(list) < least || len(list) > MaxPermitUnits {
		return bad(field, "%d entries, wanted %d to %d", len(list), least, MaxPermitUnits)
	}
	known := make(map[string]bool, len(list))
	for _, n := range list {
		if n == "" || len(n) > MaxName {
			return bad(field, "%q is no name", n)
		}
		if known[n] {
			return bad(field, "%s is named twice", n)
		}
		known[n] = true
	}
	return nil
}

func (op *Op) successors() error {
	if len(op.Successors) > MaxPermitUnits {
		return bad("successors", "over %d", MaxPermitUnits)
	}
	return nil
}

func (op *Op) seen() error {
	if len(op.Seen) == 0 || len(op.Seen) > MaxSeen {
		return bad("seen", "%d entries, wanted 1 to %d", len(op.Seen), MaxSeen)
	}
	for k, u := range op.Seen {
		if u.Condition != Up && u.Condition != Cold && u.Condition != Unready {
			return bad(fmt.Sprintf("seen[%d].condition", k), "%q is not %s, %s or %s", u.Condition, Up, Cold, Unready)
		}
	}
	return nil
}

func (p *Permit) check(owner string) error {
	err := first(name("permit.id", p.ID), name("permit.owner", p.Owner), text("permit.purpose", p.Purpose), names("permit.units", p.Units, 1))
	switch {
	case err != nil:
		return err
	case p.Owner != owner:
		return bad("owner", "%q asks for a permit of %q", owner, p.Owner)
	case strings.HasPrefix(owner, ofBudget):
		return bad("owner", "%q is the scope of a budget", owner)
	case p.Rank < RankBack || p.Rank > RankForward:
		return bad("permit.rank", "%d is not within %d to %d", p.Rank, RankBack, RankForward)
	case p.End != ComesBack && p.End != Replaced && p.End != Retired:
		return bad("permit.end", "%q is not %s, %s or %s", p.End, ComesBack, Replaced, Retired)
	case p.Alone && !Operator(owner):
		return bad("permit.alone", "%q is no operator", owner)
	}
	in := make(map[string]bool, len(p.Units))
	for _, id := range p.Units {
		in[id] = true
	}
	if len(p.Instead) > len(p.Units) {
		return bad("permit.instead", "it names more than the units")
	}
	for id, other := range p.Instead {
		if !in[id] || in[other] || other == "" || len(other) > MaxName {
			return bad("permit.instead", "one of the units by one that is not among them, not %q by %q", id, other)
		}
	}
	return nil
}

// Check tells which field of a budget cannot be.
func (b *Budget) Check() error {
	if err := name("budget.name", b.Name); err != nil {
		return err
	}
	for k, l := range []Limit{b.MaxOut, b.MaxCold} {
		field := []string{"budget.max_out", "budget.max_cold"}[k]
		if l.Count != nil && (*l.Count < 0 || *l.Count > MaxUnits) {
			return bad(field+".count", "%d is not within 0 to %d", *l.Count, MaxUnits)
		}
		if l.Share != nil && !(*l.Share >= 0 && *l.Share <= 1) {
			return bad(field+".share", "%v is not within 0 to 1", *l.Share)
		}
	}
	s := &b.Select
	if s.Kind != "" && s.Kind != Server && s.Kind != Sidecar {
		return bad("budget.select.kind", "%q is not %s or %s", s.Kind, Server, Sidecar)
	}
	return names("budget.select.ids", s.IDs, 0)
}

// round keeps a share that is meant to be whole from being rounded down by one for the sake of its last binary digit.
const round = 1e-9

// of gives how many of n are allowed; none is no bound.
func (l Limit) of(n int) (limit int, bound bool) {
	limit = math.MaxInt
	if l.Count != nil {
		limit, bound = *l.Count, true
	}
	if l.Share != nil {
		limit, bound = min(limit, int(math.Floor(*l.Share*float64(n)+round))), true
	}
	return limit, bound
}

// ofSize gives how much of a capacity of n units, in thousandths, is allowed.
func (l Limit) ofSize(size int64, n int) (limit int64, bound bool) {
	limit = math.MaxInt64
	if l.Count != nil && n > 0 {
		limit, bound = int64(*l.Count)*size/int64(n), true
	}
	if l.Share != nil {
		limit, bound = min(limit, int64(math.Floor(*l.Share*float64(size)+round))), true
	}
	return limit, bound
}

// Selects tells whether a selector takes in a unit.
func (s *Selector) Selects(u *Unit) bool {
	switch {
	case s.Kind != "" && s.Kind != u.Kind, s.Zone != "" && s.Zone != u.Zone, s.Model != "" && s.Model != u.Model,
		s.Version != "" && s.Version != u.Version:
		return false
	case s.Pod != nil && (u.Kind != Server || *s.Pod != u.Pod):
		return false
	case s.Tenant != "" && len(u.Tenants) > 0 && !slices.Contains(u.Tenants, s.Tenant):
		return false
	}
	return len(s.IDs) == 0 || slices.Contains(s.IDs, u.ID)
}
