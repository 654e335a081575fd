// Package latest passes values from one goroutine to another where only the newest value matters: a slow reader neither
// blocks the writer nor receives superseded values.
package latest

// Value is a channel that holds at most the newest value. Create it with New.
type Value[T any] struct{ newest chan T }

// New returns a Value that holds nothing.
func New[T any]() Value[T] { return Value[T]{newest: make(chan T, 1)} }

// C returns the channel from which a reader receives the newest value, each value at most once.
func (v Value[T]) C() <-chan T { return v.newest }

// Set replaces the value that the reader has not received yet. It does not block.
func (v Value[T]) Set(value T) {
	for {
		select {
		case v.newest <- value:
			return
		default:
		}
		select {
		case <-v.newest:
		default: // the reader has received the previous value meanwhile
		}
	}
}
