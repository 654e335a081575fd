// Package validation provides the error for an invalid field of a request or a configuration. It defines only the form
// of the error; each package validates its own types.
package validation

import "fmt"

// Error reports an invalid field and the reason. Its text is one line, "field: reason".
type Error struct {
	Field  string // as a client or an operator writes it, such as "budget.max_out.share"
	Reason string
}

// Error implements the error interface.
func (e *Error) Error() string { return e.Field + ": " + e.Reason }

// Errorf returns an *Error about a field, with a formatted reason.
func Errorf(field, format string, args ...any) error {
	return &Error{Field: field, Reason: fmt.Sprintf(format, args...)}
}

// First returns the first error that is not nil, or nil.
func First(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}
