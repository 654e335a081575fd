package placement

import (
	"slices"
	"strings"
	"unicode"
	"unicode/utf8"

	"milldeck/internal/validation"
)

// Bounds of what a placement may hold. An update line with all of it is under 1.8 MB, which a sidecar has memory for;
// so is the largest incremental one.
const (
	MaxDirectives          = 10_000
	MaxTotalBytes          = 1536 << 10 // of all directives, as accountedBytes counts them
	MaxServersPerDirective = 4096       // more than a zone of the largest fleet
	MaxCopiesPerKey        = 64
	MaxSetPerOp            = 1000 // directives set by one operation
	MaxIDLength            = 256  // bytes
	MaxNameLength          = 128  // bytes of any other name

	// MaxLifetimeMS is how long after the time of its record a directive may expire: nothing lasts longer than this
	// without its owner renewing it.
	MaxLifetimeMS = 3600 * 1000
	// MaxClockSkewMS is how far the clocks of writer and leader may be apart for a write to be applied. It has to cover
	// the time that the write is under way, with a retry after a lost answer (4 s).
	MaxClockSkewMS = 5000
)

// Kind says what a directive does.
type Kind string

// The kinds of directives.
const (
	KindExclude   Kind = "keep_off" // first picks of Tenant avoid Servers, as long as MinAvailable of the tenant's servers remains
	KindSpreadKey Kind = "spread"   // requests with the key KeyHash go to Copies as well as to the key's own servers
	KindCohort    Kind = "cohort"   // load reports count Servers apart, as the cohort Cohort: one version beside another
)

// Directive is one instruction to all sidecars.
type Directive struct {
	ID           string    `json:"id"` // "window/NAME/TENANT", "spread/KEY", "cohort/NAME": the first part stands for its owner's lease
	Kind         Kind      `json:"kind"`
	Tenant       string    `json:"tenant,omitempty"` // of the settings, or where these name none the calling application
	Servers      []string  `json:"servers,omitempty"`
	MinAvailable float64   `json:"least,omitempty"`  // fraction of its servers that the tenant retains in any case, 0 to 1
	KeyHash      string    `json:"key,omitempty"`    // 16 hexadecimal digits: the key as sidecars hash it (FNV-1a, 64 bits)
	Copies       []KeyCopy `json:"copies,omitempty"` // of the key
	Cohort       string    `json:"name,omitempty"`
	// ExpiresAtMS is Unix ms by the clock of the directive's owner. RemainingMS is what remained until then when the
	// line that carries the directive was written. A consumer drops the directive at whichever comes first: the wall
	// clock at ExpiresAtMS, or RemainingMS on its own monotonic clock. So one wrong clock makes it expire early, never
	// late.
	ExpiresAtMS int64  `json:"until_ms"`
	RemainingMS int64  `json:"left_ms,omitempty"` // set by who writes the line; never stored
	Revision    uint64 `json:"rev"`               // of the log, when it was last set to another value
}

// KeyCopy is a server that serves a spread key.
type KeyCopy struct {
	ServerUID    string  `json:"uid"`
	LoadFraction float64 `json:"share"` // of the key's load, 0 to 1; 0: it is being warmed up, or drained
}

// DirectiveRef names a directive as it was at a revision.
type DirectiveRef struct {
	ID       string `json:"id"`
	Revision uint64 `json:"rev"`
}

// kindByIDPrefix is the kind of the directives whose ID begins with the part.
var kindByIDPrefix = map[string]Kind{"window": KindExclude, "spread": KindSpreadKey, "cohort": KindCohort}

// OwnedBy reports whether the holder of a lease may write a directive: its ID is the lease's name, or begins with that
// and a slash. The first part "cohort" stands for the lease "release". So window/NAME/TENANT belongs to the lease
// window/NAME and to the fleet-wide lease window, cohort/NAME to release/NAME and to release.
func OwnedBy(lease, id string) bool {
	if suffix, ok := strings.CutPrefix(id, "cohort/"); ok {
		id = "release/" + suffix
	}
	suffix, ok := strings.CutPrefix(id, lease)
	return ok && lease != "" && (suffix == "" || suffix[0] == '/')
}

// accountedBytes is what a directive counts against MaxTotalBytes: no less than its JSON takes, and the same on every
// replica, whatever its version's encoder writes.
func (d *Directive) accountedBytes() int {
	const directiveBytes, serverBytes, copyBytes = 192, 3, 48 // names, numbers and quotes
	total := directiveBytes + escapedLength(d.ID) + escapedLength(string(d.Kind)) + escapedLength(d.Tenant) +
		escapedLength(d.KeyHash) + escapedLength(d.Cohort)
	for _, uid := range d.Servers {
		total += serverBytes + escapedLength(uid)
	}
	for _, keyCopy := range d.Copies {
		total += copyBytes + escapedLength(keyCopy.ServerUID)
	}
	return total
}

// escapedLength is no less than the length of a text in JSON, where a byte may take six (\u003c).
func escapedLength(s string) int {
	const extraBytes = 5
	length := len(s)
	for i := range len(s) {
		switch c := s[i]; {
		case c < ' ', c >= 0x7f, c == '"', c == '\\', c == '<', c == '>', c == '&':
			length += extraBytes
		}
	}
	return length
}

// sameContent reports whether two directives have sidecars do the same, for as long.
func sameContent(a, b *Directive) bool {
	return a.Kind == b.Kind && a.Tenant == b.Tenant && a.MinAvailable == b.MinAvailable && a.KeyHash == b.KeyHash && a.Cohort == b.Cohort &&
		a.ExpiresAtMS == b.ExpiresAtMS && slices.Equal(a.Servers, b.Servers) && slices.Equal(a.Copies, b.Copies)
}

// Validate reports, as a *validation.Error, what of a directive is invalid. It is meant for before the log.
func (d *Directive) Validate() error {
	return validation.First(d.validateBounds(), d.validateIdentity(), d.validateContent(), d.validateUnique())
}

// validateBounds reports what of a directive is too large, whatever its kind: consumers accept kinds of later versions.
func (d *Directive) validateBounds() error {
	switch {
	case d.ID == "" || len(d.ID) > MaxIDLength:
		return validation.Errorf("id", "%d bytes, wanted 1 to %d", len(d.ID), MaxIDLength)
	case max(len(d.Kind), len(d.Tenant), len(d.KeyHash), len(d.Cohort)) > MaxNameLength:
		return validation.Errorf(d.ID, "a name of over %d bytes", MaxNameLength)
	case len(d.Servers) > MaxServersPerDirective:
		return validation.Errorf(d.ID, "%d servers, at most %d", len(d.Servers), MaxServersPerDirective)
	case len(d.Copies) > MaxCopiesPerKey:
		return validation.Errorf(d.ID, "%d copies, at most %d", len(d.Copies), MaxCopiesPerKey)
	}
	for _, uid := range d.Servers {
		if uid == "" || len(uid) > MaxNameLength {
			return validation.Errorf(d.ID, "a server's uid of %d bytes, wanted 1 to %d", len(uid), MaxNameLength)
		}
	}
	for _, keyCopy := range d.Copies {
		uid, fraction := keyCopy.ServerUID, keyCopy.LoadFraction
		if uid == "" || len(uid) > MaxNameLength || !(fraction >= 0 && fraction <= 1) {
			return validation.Errorf(d.ID, "copy %q with share %v", uid, fraction)
		}
	}
	return nil
}

// validateIdentity checks that a directive's ID is well-formed and says its kind.
func (d *Directive) validateIdentity() error {
	prefix, suffix, _ := strings.Cut(d.ID, "/")
	kind, known := kindByIDPrefix[prefix]
	switch {
	case !known:
		return validation.Errorf("id", "%q begins with none of window, spread, cohort", d.ID)
	case !printable(d.ID) || strings.Contains("/"+suffix+"/", "//"):
		return validation.Errorf("id", "%q has an empty part, or what cannot be printed", d.ID)
	case d.Kind != kind:
		return validation.Errorf("kind", "%q of %s, wanted %q", d.Kind, d.ID, kind)
	}
	return nil
}

// validateContent checks that a directive has what its kind needs.
func (d *Directive) validateContent() error {
	switch {
	case d.ExpiresAtMS <= 0:
		return validation.Errorf("until_ms", "%s has no end", d.ID)
	case !(d.MinAvailable >= 0 && d.MinAvailable <= 1):
		return validation.Errorf("least", "%v of %s is not within 0 to 1", d.MinAvailable, d.ID)
	case d.Kind == KindExclude && d.Tenant == "":
		return validation.Errorf("tenant", "%s names none", d.ID)
	case d.Kind == KindCohort && d.Cohort == "":
		return validation.Errorf("name", "%s has none", d.ID)
	case d.Kind != KindSpreadKey && len(d.Servers) == 0:
		return validation.Errorf("servers", "%s names none", d.ID)
	case d.Kind == KindSpreadKey && !validKeyHash(d.KeyHash):
		return validation.Errorf("key", "%q of %s is not 16 hexadecimal digits", d.KeyHash, d.ID)
	case d.Kind == KindSpreadKey && len(d.Copies) == 0:
		return validation.Errorf("copies", "%s names none", d.ID)
	}
	return nil
}

// validateUnique checks that a directive names no server twice.
func (d *Directive) validateUnique() error {
	named := map[string]bool{}
	for _, uid := range d.Servers {
		if named[uid] {
			return validation.Errorf("servers", "%s names %s twice", d.ID, uid)
		}
		named[uid] = true
	}
	clear(named)
	for _, keyCopy := range d.Copies {
		if named[keyCopy.ServerUID] {
			return validation.Errorf("copies", "%s names %s twice", d.ID, keyCopy.ServerUID)
		}
		named[keyCopy.ServerUID] = true
	}
	return nil
}

func printable(text string) bool {
	return utf8.ValidString(text) && !strings.ContainsFunc(text, func(r rune) bool { return !unicode.IsPrint(r) })
}

// validKeyHash reports whether a text is a key as sidecars hash it.
func validKeyHash(text string) bool {
	const digits = 16
	if len(text) != digits {
		return false
	}
	for i := range len(text) {
		if c := text[i]; (c < '0' || c > '9') && (c < 'a' || c > 'f') {
			return false
		}
	}
	return true
}
