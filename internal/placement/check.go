package placement

import (
	"fmt"
	"strings"
	"unicode"
	"unicode/utf8"
)

// Bounds of what a placement may hold. A line with all of it, or with the most that is told as a change, is under
// 1.8 MB, as a sidecar has little room.
const (
	MaxEntries = 10_000
	MaxBytes   = 1536 << 10 // of all entries, as Entry.size counts them
	MaxServers = 4096       // of an entry: more than a zone of the largest fleet
	MaxCopies  = 64
	MaxSet     = 1000 // entries of one operation
	MaxID      = 256
	MaxName    = 128

	// MaxAheadMS is how far after the time of its record an entry may end: an hour without a word from its owner is
	// the longest that anything may last.
	MaxAheadMS = 3600 * 1000
	// MaxApartMS is how far the clocks of writer and leader may be apart for a write to count. It has to cover the
	// way of the write with a repeat after a lost answer (4 s).
	MaxApartMS = 5000
)

// FieldError is what is wrong with an operation, an entry or a report: the field and why.
type FieldError struct{ Field, Why string }

func (e *FieldError) Error() string { return e.Field + ": " + e.Why }

func bad(field, format string, args ...any) error {
	return &FieldError{field, fmt.Sprintf(format, args...)}
}

// kindOf is the kind that entries have whose ID begins with the part.
var kindOf = map[string]Kind{"window": KeepOff, "spread": Spread, "cohort": Cohort}

// Owned tells whether an entry belongs to a duty: its ID begins with the duty's name, ended by a slash or the ID's
// end. The first part "cohort" stands for the duty "release". So window/NAME/TENANT belongs to the duty window/NAME
// and to the one duty window, cohort/NAME to release/NAME and to release.
func Owned(duty, id string) bool {
	if rest, is := strings.CutPrefix(id, "cohort/"); is {
		id = "release/" + rest
	}
	rest, is := strings.CutPrefix(id, duty)
	return is && duty != "" && (rest == "" || rest[0] == '/')
}

// size is what an entry counts against MaxBytes: at least what its JSON takes, and the same on every replica, of
// whatever version its encoder is.
func (e *Entry) size() int {
	const frame, server, each = 192, 3, 48 // names, numbers and quotes of an entry, a server, a copy
	n := frame + escaped(e.ID) + escaped(string(e.Kind)) + escaped(e.Tenant) + escaped(e.Key) + escaped(e.Name)
	for _, s := range e.Servers {
		n += server + escaped(s)
	}
	for _, c := range e.Copies {
		n += each + escaped(c.UID)
	}
	return n
}

// escaped is at least the length of a text in JSON, where a byte may take six (\u003c).
func escaped(s string) int {
	n := len(s)
	for k := range len(s) {
		if c := s[k]; c < ' ' || c >= 0x7f || c == '"' || c == '\\' || c == '<' || c == '>' || c == '&' {
			n += 5
		}
	}
	return n
}

// bounded tells what of an entry is too large, of whatever kind it is: readers take kinds of a later version, too.
func (e *Entry) bounded() error {
	switch {
	case e.ID == "" || len(e.ID) > MaxID:
		return bad("id", "%d bytes, wanted 1 to %d", len(e.ID), MaxID)
	case len(e.Kind) > MaxName || len(e.Tenant) > MaxName || len(e.Key) > MaxName || len(e.Name) > MaxName:
		return bad(e.ID, "a name of over %d bytes", MaxName)
	case len(e.Servers) > MaxServers:
		return bad(e.ID, "%d servers, at most %d", len(e.Servers), MaxServers)
	case len(e.Copies) > MaxCopies:
		return bad(e.ID, "%d copies, at most %d", len(e.Copies), MaxCopies)
	}
	for _, s := range e.Servers {
		if s == "" || len(s) > MaxName {
			return bad(e.ID, "a server's uid of %d bytes, wanted 1 to %d", len(s), MaxName)
		}
	}
	for _, c := range e.Copies {
		if c.UID == "" || len(c.UID) > MaxName || !(c.Share >= 0 && c.Share <= 1) {
			return bad(e.ID, "copy %q with share %v", c.UID, c.Share)
		}
	}
	return nil
}

// Check tells what of an entry cannot be, before it goes into the log.
func (e *Entry) Check() error {
	if err := e.bounded(); err != nil {
		return err
	}
	first, rest, _ := strings.Cut(e.ID, "/")
	switch want, known := kindOf[first]; {
	case !known:
		return bad("id", "%q begins with none of window, spread, cohort", e.ID)
	case !printable(e.ID) || strings.Contains("/"+rest+"/", "//"):
		return bad("id", "%q has an empty part, or what cannot be printed", e.ID)
	case e.Kind != want:
		return bad("kind", "%q of %s, wanted %q", e.Kind, e.ID, want)
	case e.UntilMS <= 0:
		return bad("until_ms", "%s has no end", e.ID)
	case !(e.Least >= 0 && e.Least <= 1):
		return bad("least", "%v of %s is not within 0 to 1", e.Least, e.ID)
	case e.Kind == KeepOff && e.Tenant == "":
		return bad("tenant", "%s names none", e.ID)
	case e.Kind == Cohort && e.Name == "":
		return bad("name", "%s has none", e.ID)
	case e.Kind != Spread && len(e.Servers) == 0:
		return bad("servers", "%s names none", e.ID)
	case e.Kind == Spread && !keyed(e.Key):
		return bad("key", "%q of %s is not 16 hexadecimal digits", e.Key, e.ID)
	case e.Kind == Spread && len(e.Copies) == 0:
		return bad("copies", "%s names none", e.ID)
	}
	seen := map[string]bool{}
	for _, s := range e.Servers {
		if seen[s] {
			return bad("servers", "%s names %s twice", e.ID, s)
		}
		seen[s] = true
	}
	clear(seen)
	for _, c := range e.Copies {
		if seen[c.UID] {
			return bad("copies", "%s names %s twice", e.ID, c.UID)
		}
		seen[c.UID] = true
	}
	return nil
}

func printable(s string) bool {
	return utf8.ValidString(s) && !strings.ContainsFunc(s, func(r rune) bool { return !unicode.IsPrint(r) })
}

// keyed tells whether a text is a key as sidecars hash it.
func keyed(s string) bool {
	if len(s) != 16 {
		return false
	}
	for k := range len(s) {
		if c := s[k]; (c < '0' || c > '9') && (c < 'a' || c > 'f') {
			return false
		}
	}
	return true
}
