package lab

import (
	"strings"

	"milldeck/internal/config"
)

// validator checks the values of an experiment and keeps the first error, with the key and its line in the file.
type validator struct {
	file *config.File
	keys *strings.Replacer // maps keys of an experiment to those of the file; nil: they are the same
	err  error
}

// reportf records that the value of a key is invalid. Errors after the first are dropped.
func (v *validator) reportf(key, format string, args ...any) {
	if v.err != nil {
		return
	}
	if v.keys != nil {
		key = v.keys.Replace(key)
	}
	v.err = v.file.Errorf(key, format, args...)
}

// number checks that a value lies within bounds; NaN never does.
func (v *validator) number(key string, value, lowest, highest float64) {
	if !(value >= lowest && value <= highest) {
		v.reportf(key, "%v is not within %v to %v", value, lowest, highest)
	}
}

// numberRange checks that a range lies within bounds.
func (v *validator) numberRange(key string, value Range, lowest, highest float64) {
	if !(value.Min >= lowest && value.Max <= highest) {
		v.reportf(key, "[%v, %v] is not within %v to %v", value.Min, value.Max, lowest, highest)
	}
}

// oneOf checks that a text is among the allowed ones.
func (v *validator) oneOf(key, value string, allowed ...string) {
	for _, a := range allowed {
		if value == a {
			return
		}
	}
	last := len(allowed) - 1
	v.reportf(key, "%q is not %s or %s", value, strings.Join(allowed[:last], ", "), allowed[last])
}

// setDefault sets a value that is absent in the file. The zero value of the type means that it is absent.
func setDefault[T comparable](value *T, defaultValue T) {
	var zero T
	if *value == zero {
		*value = defaultValue
	}
}
