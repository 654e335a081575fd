package placement

import (
	"slices"
	"strings"
	"unicode"
	"unicode/utf8"

	"milldeck/internal/validation"
)

// Bounds of a placement. They keep the JSON of a complete update, and that of the largest incremental update, under
// 1.8 MB, for which a sidecar has memory.
const (
	MaxDirectives          = 10_000
	MaxTotalBytes          = 1536 << 10 // sum of accountedBytes over all directives
	MaxServersPerDirective = 4096       // a zone of the largest fleet has fewer servers
	MaxCopiesPerKey        = 64
	MaxSetPerOp            = 1000 // directives set by one operation
	MaxIDLength            = 256  // bytes
	MaxNameLength          = 128  // bytes of a tenant, a cohort, a server UID and any other name

	// MaxLifetimeMS is the longest time between the operation that sets a directive and the directive's expiry. To
	// keep a directive in force for longer, its owner has to renew it.
	MaxLifetimeMS = 3600 * 1000
	// MaxClockSkewMS is the largest accepted difference between the writer's and the leader's time of an operation. It
	// also covers the transmission of the write, with a retry after a lost response (4 s).
	MaxClockSkewMS = 5000
)

// Kind is the effect that a directive has.
type Kind string

// The kinds of directives.
const (
	KindExclude   Kind = "keep_off" // picks for Tenant try Servers last, as long as MinAvailable of the tenant's servers remain
	KindSpreadKey Kind = "spread"   // requests with the key KeyHash also use Copies, besides the servers that the key maps to
	KindCohort    Kind = "cohort"   // load reports count Servers separately, as Cohort, to compare two versions
)

// Directive is a routing instruction to all sidecars.
type Directive struct {
	ID           string    `json:"id"` // "window/NAME/TENANT", "spread/KEY" or "cohort/NAME"; see OwnedBy
	Kind         Kind      `json:"kind"`
	Tenant       string    `json:"tenant,omitempty"` // configured in the sidecar; by default the calling application
	Servers      []string  `json:"servers,omitempty"`
	MinAvailable float64   `json:"least,omitempty"`  // fraction of the tenant's servers that must remain, 0 to 1
	KeyHash      string    `json:"key,omitempty"`    // 16 lowercase hexadecimal digits: 64-bit FNV-1a hash, as in sidecars
	Copies       []KeyCopy `json:"copies,omitempty"` // additional servers of the key
	Cohort       string    `json:"name,omitempty"`
	// ExpiresAtMS is the time of expiry by the owner's clock, in Unix ms. RemainingMS is the time until then at the
	// encoding of the update. A consumer drops the directive when its wall clock reaches ExpiresAtMS or when RemainingMS
	// has elapsed on its monotonic clock, whichever comes first. One wrong clock can therefore make a directive expire
	// early, but not late.
	ExpiresAtMS int64  `json:"until_ms"`
	RemainingMS int64  `json:"left_ms,omitempty"` // set by the sender of an update; never stored
	Revision    uint64 `json:"rev"`               // log revision of the directive's last change
}

// KeyCopy is an additional server of a hot key.
type KeyCopy struct {
	ServerUID    string  `json:"uid"`
	LoadFraction float64 `json:"share"` // of the key's load, 0 to 1; 0: the copy is being warmed up or drained
}

// DirectiveRef identifies a directive at a revision.
type DirectiveRef struct {
	ID       string `json:"id"`
	Revision uint64 `json:"rev"`
}

// kindByIDPrefix maps the first part of a directive's ID to the directive's kind.
var kindByIDPrefix = map[string]Kind{"window": KindExclude, "spread": KindSpreadKey, "cohort": KindCohort}

// OwnedBy reports whether the holder of a lease may write the directive with an ID. The ID must equal the lease's name
// or start with the name and a slash; a prefix "cohort/" of the ID counts as "release/". For example,
// window/NAME/TENANT belongs to the lease window/NAME and to the fleet-wide lease window, and cohort/NAME belongs to
// release/NAME and to release.
func OwnedBy(lease, id string) bool {
	if suffix, ok := strings.CutPrefix(id, "cohort/"); ok {
		id = "release/" + suffix
	}
	suffix, ok := strings.CutPrefix(id, lease)
	return ok && lease != "" && (suffix == "" || suffix[0] == '/')
}

// accountedBytes returns the size with which a directive counts towards MaxTotalBytes: an upper bound of its JSON
// encoding. The size does not depend on the encoder, so that replicas of different versions compute
// the same size.
func (d *Directive) accountedBytes() int {
	const directiveBytes, serverBytes, copyBytes = 192, 3, 48 // field names, numbers and quotes
	total := directiveBytes + maxEscapedLength(d.ID) + maxEscapedLength(string(d.Kind)) + maxEscapedLength(d.Tenant) +
		maxEscapedLength(d.KeyHash) + maxEscapedLength(d.Cohort)
	for _, uid := range d.Servers {
		total += serverBytes + maxEscapedLength(uid)
	}
	for _, keyCopy := range d.Copies {
		total += copyBytes + maxEscapedLength(keyCopy.ServerUID)
	}
	return total
}

// maxEscapedLength returns an upper bound of a text's length in JSON, in which one byte takes up to six (\u003c).
func maxEscapedLength(s string) int {
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

// sameContent reports whether two directives have the same effect and expiry.
func sameContent(a, b *Directive) bool {
	return a.Kind == b.Kind && a.Tenant == b.Tenant && a.MinAvailable == b.MinAvailable && a.KeyHash == b.KeyHash && a.Cohort == b.Cohort &&
		a.ExpiresAtMS == b.ExpiresAtMS && slices.Equal(a.Servers, b.Servers) && slices.Equal(a.Copies, b.Copies)
}

// Validate checks a directive. The error is a *validation.Error. A replica rejects an invalid directive before it appends
// the operation to the log.
func (d *Directive) Validate() error {
	return validation.First(d.validateBounds(), d.validateIDAndKind(), d.validateContent(), d.validateUnique())
}

// validateBounds checks the sizes of a directive, independently of its kind: a consumer accepts kinds that only later
// versions know.
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

// validateIDAndKind checks that a directive's ID is well-formed and matches the directive's kind.
func (d *Directive) validateIDAndKind() error {
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

// validateContent checks the fields that the directive's kind requires.
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

// validateUnique checks that a directive lists no server twice.
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

// validKeyHash reports whether a text has the format of Directive.KeyHash.
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
