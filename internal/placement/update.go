package placement

// Update is a complete placement, or the changes of one since an earlier revision. It is a line of the placement watch,
// which is like that of the endpoint list: one JSON object a line, and an empty line every 2 s while nothing changes.
type Update struct {
	Revision   uint64      `json:"rev"`
	Complete   bool        `json:"all"` // directives that are not in it are removed
	Epoch      uint64      `json:"epoch,omitempty"`
	Directives []Directive `json:"entries"`
	Removed    []string    `json:"gone,omitempty"` // IDs, in an incremental update
}
