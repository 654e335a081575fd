package latest

import "testing"

func TestReaderReceivesTheNewestValueOnce(t *testing.T) {
	v := New[int]()
	for n := range 3 {
		v.Set(n)
	}
	if got := <-v.C(); got != 2 {
		t.Errorf("received %d, want the newest, 2", got)
	}
	select {
	case got := <-v.C():
		t.Errorf("received %d again", got)
	default:
	}
}
