package placement

// Update is a complete placement, or the changes since an earlier revision. It is one line of the placement watch, which
// has the format of the endpoint list's watch: one JSON object per line, and an empty line every 2 s while nothing
// changes.
type Update struct {
	Revision   uint64      `json:"rev"`
	Complete   bool        `json:"all"` // directives that are not listed are removed
	Epoch      uint64      `json:"epoch,omitempty"`
	Directives []Directive `json:"entries"`
	Removed    []string    `json:"gone,omitempty"` // IDs; only in an incremental update
}
