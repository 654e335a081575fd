package validation

import (
	"errors"
	"fmt"
	"testing"
)

func TestErrorf(t *testing.T) {
	err := fmt.Errorf("budgets[3]: %w", Errorf("budget.max_out.share", "%v is not within 0 to 1", 1.5))
	if got, want := err.Error(), "budgets[3]: budget.max_out.share: 1.5 is not within 0 to 1"; got != want {
		t.Errorf("the text is %q, want %q", got, want)
	}
	var invalid *Error
	if !errors.As(err, &invalid) || invalid.Field != "budget.max_out.share" || invalid.Reason != "1.5 is not within 0 to 1" {
		t.Errorf("the error is %#v", invalid)
	}
}

func TestFirst(t *testing.T) {
	first, second := errors.New("first"), errors.New("second")
	for _, test := range []struct {
		name string
		errs []error
		want error
	}{
		{"none", nil, nil},
		{"all valid", []error{nil, nil}, nil},
		{"one invalid", []error{nil, second}, second},
		{"two invalid", []error{nil, first, second}, first},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := First(test.errs...); !errors.Is(got, test.want) {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}
