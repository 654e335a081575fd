package placement

import (
	"strings"
	"unicode"
	"unicode/utf8"

	"milldeck/internal/validation"
)

// Bounds of what a placement may hold. A line with all of it, or with the most that is told as a change, is under
// 1.8 MB, as a sidecar has little room.
const (
	MaxDirectives          = 10_000
	MaxTotalBytes          = 1536 << 10 // of all entries, as Entry.size counts them
	MaxServersPerDirective = 4096       // of an entry: more than a zone of the largest fleet
	MaxCopiesPerKey        = 64
	MaxSetPerOp            = 1000 // entries of one operation
	MaxIDLength            = 256
	MaxNameLength          = 128

	// MaxLifetimeMS is how far after the time of its record an entry may end: an hour without a word from its owner is
	// the longest that anything may last.
	MaxLifetimeMS = 3600 * 1000
	// MaxClockSkewMS is how far the clocks of writer and leader may be apart for a write to count. It has to cover the
	// way of the write with a repeat after a lost answer (4 s).
	MaxClockSkewMS = 5000
)

func invalid(field, format string, args ...any) error {
	return validation.Errorf(field, format, args...)
}

// kindByIDPrefix is the kind that entries have whose ID begins with the part.
var kindByIDPrefix = map[string]Kind{"window": KindExclude, "spread": KindSpreadKey, "cohort": KindCohort}

// OwnedBy tells whether an entry belongs to a duty: its ID begins with the duty's name, ended by a slash or the ID's
// end. The first part "cohort" stands for the duty "release". So window/NAME/TENANT belongs to the duty window/NAME
// and to the one duty window, cohort/NAME to release/NAME and to release.
func OwnedBy(lease, id string) bool {
	if rest, ok := strings.CutPrefix(id, "cohort/"); ok {
		id = "release/" + rest
	}
	rest, ok := strings.CutPrefix(id, lease)
	return ok && lease != "" && (rest == "" || rest[0] == '/')
}

// accountedBytes is what an entry counts against MaxTotalBytes: at least what its JSON takes, and the same on every replica, of
// whatever version its encoder is.
func (d *Directive) accountedBytes() int {
	const directiveBytes, serverBytes, copyBytes = 192, 3, 48 // names, numbers and quotes of an entry, a server, a copy
	total := directiveBytes + escapedLength(d.ID) + escapedLength(string(d.Kind)) + escapedLength(d.Tenant) + escapedLength(d.KeyHash) + escapedLength(d.Cohort)
	for _, uid := range d.Servers {
		total += serverBytes + escapedLength(uid)
	}
	for _, keyCopy := range d.Copies {
		total += copyBytes + escapedLength(keyCopy.ServerUID)
	}
	return total
}

// escapedLength is at least the length of a text in JSON, where a byte may take six (\u003c).
func escapedLength(s string) int {
	length := len(s)
	for i := range len(s) {
		if c := s[i]; c < ' ' || c >= 0x7f || c == '"' || c == '\\' || c == '<' || c == '>' || c == '&' {
			length += 5
		}
	}
	return length
}

// validateBounds tells what of an entry is too large, of whatever kind it is: readers take kinds of a later version, too.
func (d *Directive) validateBounds() error {
	switch {
	case d.ID == "" || len(d.ID) > MaxIDLength:
		return invalid("id", "%d bytes, wanted 1 to %d", len(d.ID), MaxIDLength)
	case len(d.Kind) > MaxNameLength || len(d.Tenant) > MaxNameLength || len(d.KeyHash) > MaxNameLength || len(d.Cohort) > MaxNameLength:
		return invalid(d.ID, "a name of over %d bytes", MaxNameLength)
	case len(d.Servers) > MaxServersPerDirective:
		return invalid(d.ID, "%d servers, at most %d", len(d.Servers), MaxServersPerDirective)
	case len(d.Copies) > MaxCopiesPerKey:
		return invalid(d.ID, "%d copies, at most %d", len(d.Copies), MaxCopiesPerKey)
	}
	for _, uid := range d.Servers {
		if uid == "" || len(uid) > MaxNameLength {
			return invalid(d.ID, "a server's uid of %d bytes, wanted 1 to %d", len(uid), MaxNameLength)
		}
	}
	for _, keyCopy := range d.Copies {
		if keyCopy.ServerUID == "" || len(keyCopy.ServerUID) > MaxNameLength || !(keyCopy.LoadFraction >= 0 && keyCopy.LoadFraction <= 1) {
			return invalid(d.ID, "copy %q with share %v", keyCopy.ServerUID, keyCopy.LoadFraction)
		}
	}
	return nil
}

// Validate tells what of an entry cannot be, before it goes into the log.
func (d *Directive) Validate() error {
	if err := d.validateBounds(); err != nil {
		return err
	}
	prefix, rest, _ := strings.Cut(d.ID, "/")
	switch kind, known := kindByIDPrefix[prefix]; {
	case !known:
		return invalid("id", "%q begins with none of window, spread, cohort", d.ID)
	case !printable(d.ID) || strings.Contains("/"+rest+"/", "//"):
		return invalid("id", "%q has an empty part, or what cannot be printed", d.ID)
	case d.Kind != kind:
		return invalid("kind", "%q of %s, wanted %q", d.Kind, d.ID, kind)
	case d.ExpiresAtMS <= 0:
		return invalid("until_ms", "%s has no end", d.ID)
	case !(d.MinAvailable >= 0 && d.MinAvailable <= 1):
		return invalid("least", "%v of %s is not within 0 to 1", d.MinAvailable, d.ID)
	case d.Kind == KindExclude && d.Tenant == "":
		return invalid("tenant", "%s names none", d.ID)
	case d.Kind == KindCohort && d.Cohort == "":
		return invalid("name", "%s has none", d.ID)
	case d.Kind != KindSpreadKey && len(d.Servers) == 0:
		return invalid("servers", "%s names none", d.ID)
	case d.Kind == KindSpreadKey && !validKeyHash(d.KeyHash):
		return invalid("key", "%q of %s is not 16 hexadecimal digits", d.KeyHash, d.ID)
	case d.Kind == KindSpreadKey && len(d.Copies) == 0:
		return invalid("copies", "%s names none", d.ID)
	}
	seen := map[string]bool{}
	for _, uid := range d.Servers {
		if seen[uid] {
			return invalid("servers", "%s names %s twice", d.ID, uid)
		}
		seen[uid] = true
	}
	clear(seen)
	for _, keyCopy := range d.Copies {
		if seen[keyCopy.ServerUID] {
			return invalid("copies", "%s names %s twice", d.ID, keyCopy.ServerUID)
		}
		seen[keyCopy.ServerUID] = true
	}
	return nil
}

func printable(text string) bool {
	return utf8.ValidString(text) && !strings.ContainsFunc(text, func(r rune) bool { return !unicode.IsPrint(r) })
}

// validKeyHash tells whether a text is a key as sidecars hash it.
func validKeyHash(text string) bool {
	if len(text) != 16 {
		return false
	}
	for i := range len(text) {
		if c := text[i]; (c < '0' || c > '9') && (c < 'a' || c > 'f') {
			return false
		}
	}
	return true
}
