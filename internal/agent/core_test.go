package agent

import (
	"bytes"
	"fmt"
	"testing"

	"milldeck/internal/registry"
)

func list(rev, epoch uint64, all bool, uids ...string) *registry.List {
	l := &registry.List{Rev: rev, Epoch: epoch, All: all, Targets: []registry.Target{}}
	for _, uid := range uids {
		state := registry.Ready
		if uid[0] == '-' {
			uid, state = uid[1:], registry.Gone
		}
		l.Targets = append(l.Targets, registry.Target{UID: uid, Endpoint: "10.0.0.1:80", State: state})
	}
	return l
}

func TestCore(t *testing.T) {
	many := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
	c := &core{share: 0.5}
	for _, step := range []struct {
		name      string
		l         *registry.List
		confirmed bool
		want      verdict
		servers   int
	}{
		{"changes before any list", list(4, 9, false, "a"), false, strange, 0},
		{"the first list", list(5, 9, true, many...), false, applied, 8},
		{"an older list", list(4, 9, true, "a"), false, ignored, 8},
		{"the same changes again", list(5, 9, false, "-a"), false, ignored, 8},
		{"one goes", list(6, 9, false, "-a"), false, applied, 7},
		{"most go", list(7, 9, true, "b", "c"), false, held, 7},
		{"most go, as changes", list(7, 9, false, "-b", "-c", "-d", "-e"), false, held, 7},
		{"most go, and a second replica says so", list(7, 9, true, "b", "c"), true, applied, 2},
		{"the last two go: too few to be held", list(8, 9, false, "-b", "-c"), false, applied, 0},
		{"they are back", list(9, 9, false, many...), false, applied, 8},
		{"changes of another epoch", list(20, 10, false, "-a"), false, strange, 8},
		{"an older backup, restored", list(3, 10, true, many...), false, held, 8},
		{"and confirmed", list(3, 10, true, many[:6]...), true, applied, 6},
	} {
		served := c.served
		v, u := c.take(step.l, step.confirmed)
		if v != step.want || len(c.targets) != step.servers {
			t.Errorf("%s: verdict %d, %d servers, want %d, %d", step.name, v, len(c.targets), step.want, step.servers)
		}
		if v == applied && c.served <= served || v != applied && (c.served != served || len(u.set)+len(u.gone) > 0) {
			t.Errorf("%s: served revision %d after %d, update %+v", step.name, c.served, served, u)
		}
	}
}

func TestSavedListIsWholeOrNotUsed(t *testing.T) {
	c := &core{share: 0.5}
	c.take(list(5, 9, true, "a", "b"), false)
	data, err := c.encode()
	if err != nil {
		t.Fatal(err)
	}
	var back core
	if err := back.decode(data); err != nil || fmt.Sprint(back.targets) != fmt.Sprint(c.targets) || back.served != c.served {
		t.Errorf("%+v, want %+v: %v", back, c, err)
	}
	for k := range data {
		torn := bytes.Clone(data)
		torn[k] ^= 1
		if (&core{}).decode(torn) == nil {
			t.Errorf("byte %d flipped, and used all the same", k)
		}
	}
}
