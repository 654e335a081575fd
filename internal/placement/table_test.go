package placement

import (
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

func exclusion(id string, expiresAtMS int64, servers ...string) Directive {
	return Directive{ID: id, Kind: KindExclude, Tenant: "t", Servers: servers, MinAvailable: 0.5, ExpiresAtMS: expiresAtMS}
}

// watchPosition is the revision and epoch from which a watch continues.
type watchPosition struct{ revision, epoch uint64 }

// drawPlacementOp draws the directives that an operation sets or deletes.
func drawPlacementOp(t *rapid.T, op *Op, deletes bool) {
	if deletes {
		ids := rapid.SampledFrom([]string{"window/a/x", "window/b/x", "window/b/y"})
		op.Delete = rapid.SliceOfNDistinct(ids, 1, 2, rapid.ID[string]).Draw(t, "drop")
		return
	}
	ids := rapid.SampledFrom([]string{"window/a/x", "window/b/x", "window/b/y", "window/ab/x"})
	for _, id := range rapid.SliceOfNDistinct(ids, 1, 3, rapid.ID[string]).Draw(t, "set") {
		op.Set = append(op.Set, exclusion(id, rapid.Int64Range(1000, 1020).Draw(t, "until"), "s1"))
	}
}

// checkApplied checks that an operation either was applied completely and according to the rules, or changed nothing.
func checkApplied(t *rapid.T, table *Table, before map[string]Directive, lease string, op *Op, result Result) {
	t.Helper()
	if result.Outcome != OutcomeApplied {
		if !reflect.DeepEqual(before, table.directives) {
			t.Fatalf("a rejected operation (%s) changed the table to %v, before %v", result.Reason, table.directives, before)
		}
		return
	}
	for _, directive := range op.Set {
		owned := lease != "" && strings.HasPrefix(directive.ID, lease+"/")
		stored := table.directives[directive.ID]
		if !owned || directive.ExpiresAtMS <= op.LeaderTimeMS || stored.ExpiresAtMS != directive.ExpiresAtMS {
			t.Fatalf("%+v was applied under the lease %q at %d; the table has %+v", directive, lease, op.LeaderTimeMS, stored)
		}
	}
}

// checkTotalBytes checks that the table's byte count is the sum over its directives.
func checkTotalBytes(t *rapid.T, table *Table) {
	t.Helper()
	totalBytes := 0
	for _, directive := range table.directives {
		totalBytes += directive.accountedBytes()
	}
	if totalBytes != table.totalBytes {
		t.Fatalf("the table counts %d bytes, its directives have %d", table.totalBytes, totalBytes)
	}
}

// checkReplay checks that the changes since a position, applied to the state at that position, give the current state.
func checkReplay(t *rapid.T, table *Table, position watchPosition, state map[string]Directive) {
	t.Helper()
	update := table.ChangesSince(position.revision, position.epoch, 0) // at time 0 no directive has expired
	replayed := map[string]Directive{}
	if !update.Complete {
		replayed = maps.Clone(state)
	}
	for _, directive := range update.Directives {
		directive.RemainingMS = 0
		replayed[directive.ID] = directive
	}
	for _, id := range update.Removed {
		delete(replayed, id)
	}
	if !reflect.DeepEqual(replayed, table.directives) || update.Revision != table.revision || update.Epoch != table.epoch {
		t.Fatalf("the changes since %v, %+v, give %v, want %v", position, update, replayed, table.directives)
	}
}

// The changes since any revision, applied to the state at that revision, give the current state. The table's rules and
// byte count hold after any sequence of operations.
func TestChangesSinceReproducesState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, epoch := NewTable(), uint64(7)
		table.StartEpoch(1, epoch)
		history := map[watchPosition]map[string]Directive{{1, epoch}: {}}
		for index := uint64(2); index < 30; index++ {
			lease := rapid.SampledFrom([]string{"window/a", "window/b", "window", ""}).Draw(t, "lease")
			op := &Op{LeaderTimeMS: rapid.Int64Range(1000, 1010).Draw(t, "now")}
			before := maps.Clone(table.directives)
			switch kind := rapid.IntRange(0, 9).Draw(t, "what"); kind {
			case 0:
				op.Expired, lease = table.Expired(op.LeaderTimeMS, 2), ""
			case 1:
				table = Restore(table.Snapshot(), epoch)
				continue
			case 2:
				epoch++
				table.StartEpoch(index, epoch)
				history[watchPosition{index, epoch}] = maps.Clone(table.directives)
				continue
			default:
				drawPlacementOp(t, op, kind <= 4)
			}
			result := table.Apply(index, lease, op)
			checkApplied(t, table, before, lease, op, result)
			checkTotalBytes(t, table)
			if table.epoch != epoch {
				t.Fatalf("the epoch is %d, want %d", table.epoch, epoch)
			}
			history[watchPosition{table.revision, epoch}] = maps.Clone(table.directives)
			for position, state := range history {
				checkReplay(t, table, position, state)
			}
		}
	})
}

// A watch that resumes from before the start of the history gets a complete update. A watch that resumes from a later
// revision gets only the changes.
func TestHistoryIsBounded(t *testing.T) {
	table := NewTable()
	table.StartEpoch(1, 7)
	const changes = 5 * minHistory
	for i := range uint64(changes) {
		id := fmt.Sprint("window/a/", i%10)
		if result := table.Apply(2+i, "window/a", &Op{LeaderTimeMS: 1, Set: []Directive{exclusion(id, int64(10+i), "s")}}); result.Outcome != OutcomeApplied {
			t.Fatal(result.Reason)
		}
		if len(table.history) >= 2*minHistory {
			t.Fatalf("the history holds %d changes", len(table.history))
		}
	}
	newest := table.Revision()
	if update := table.ChangesSince(newest-minHistory+1, 7, 0); update.Complete || len(update.Directives) != 10 {
		t.Errorf("resumed %d changes back: complete %v, %d directives", minHistory-1, update.Complete, len(update.Directives))
	}
	for _, after := range []uint64{0, 1, newest - 2*minHistory, newest + 1} {
		if update := table.ChangesSince(after, 7, 0); !update.Complete {
			t.Errorf("the update after revision %d of %d is not complete", after, newest)
		}
	}
	if update := table.ChangesSince(newest-3, 7, 0); update.Complete || len(update.Directives) != 3 {
		t.Errorf("resumed three changes back: %+v", update)
	}
	if update := table.ChangesSince(newest, 8, 0); !update.Complete {
		t.Error("the update for another epoch is not complete")
	}
}

// accountedBytes is at least the size of an encoded directive, so that MaxTotalBytes bounds the size of an update.
func TestAccountedBytesCoverEncodedLine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.StringOfN(rapid.RuneFrom([]rune{'a', '<', '"', '\\', 'ä', 0x7f, 0x2028, 1, 0xfffd}), 1, 20, -1)
		directive := Directive{ID: text.Draw(t, "id"), Kind: Kind(text.Draw(t, "kind")), Tenant: text.Draw(t, "tenant"), KeyHash: text.Draw(t, "key"),
			Cohort: text.Draw(t, "name"), Servers: rapid.SliceOfN(text, 1, 3).Draw(t, "servers"), MinAvailable: rapid.Float64().Draw(t, "least"),
			ExpiresAtMS: rapid.Int64().Draw(t, "until"), RemainingMS: MaxLifetimeMS, Revision: rapid.Uint64().Draw(t, "rev")}
		for _, uid := range directive.Servers {
			directive.Copies = append(directive.Copies, KeyCopy{uid, rapid.Float64().Draw(t, "share")})
		}
		data, err := json.Marshal(directive)
		if err != nil {
			t.Fatal(err)
		}
		if len(data)+len(",") > directive.accountedBytes() {
			t.Fatalf("a directive of %d bytes is accounted with %d: %s", len(data)+1, directive.accountedBytes(), data)
		}
	})
}

func manyServerUIDs(count int) []string {
	uids := make([]string, count)
	for i := range uids {
		uids[i] = fmt.Sprint("s", i)
	}
	return uids
}

// Apply rejects operations that violate its rules, and then changes nothing.
func TestApplyRules(t *testing.T) {
	const now = 1_000_000_000
	validExclusion := func() Directive { return exclusion("window/a/t", now+1000, "s1", "s2") }
	spread := Directive{ID: "spread/k", Kind: KindSpreadKey, KeyHash: "0123456789abcdef", Copies: []KeyCopy{{"s", 0.5}}, ExpiresAtMS: now + 1}
	cohort := Directive{ID: "cohort/r/new", Kind: KindCohort, Cohort: "new", Servers: []string{"s"}, ExpiresAtMS: now + 1}
	copies := make([]KeyCopy, MaxCopiesPerKey+1)
	for i := range copies {
		copies[i].ServerUID = fmt.Sprint("s", i)
	}
	modified := func(directive Directive, change func(*Directive)) Directive { change(&directive); return directive }
	for _, test := range []struct {
		name, lease  string
		writerTimeMS int64
		directive    Directive
		want         Outcome
	}{
		{"valid", "window/a", now, validExclusion(), OutcomeApplied},
		{"under the fleet-wide lease", "window", 0, validExclusion(), OutcomeApplied},
		{"copies of a key", "spread", now, spread, OutcomeApplied},
		{"cohort of a release", "release/r", now, cohort, OutcomeApplied},
		{"directive of another window", "window/b", now, validExclusion(), OutcomeRejected},
		{"lease name with a trailing slash", "window/", now, validExclusion(), OutcomeRejected},
		{"cohort of another release", "release/other", now, cohort, OutcomeRejected},
		{"no lease", "", now, validExclusion(), OutcomeRejected},
		{"expired", "window", now, modified(validExclusion(), func(directive *Directive) { directive.ExpiresAtMS = now }), OutcomeRejected},
		{"expires at MaxLifetimeMS", "window", now, modified(validExclusion(), func(directive *Directive) { directive.ExpiresAtMS = now + MaxLifetimeMS }), OutcomeApplied},
		{"expires beyond MaxLifetimeMS", "window", now, modified(validExclusion(), func(directive *Directive) { directive.ExpiresAtMS = now + MaxLifetimeMS + 1 }), OutcomeRejected},
		{"writer's clock an hour ahead", "window", now + 3_600_000, validExclusion(), OutcomeRejected},
		{"writer's clock an hour behind", "window", now - 3_600_000, validExclusion(), OutcomeRejected},
		{"writer's clock ahead by MaxClockSkewMS", "window", now + MaxClockSkewMS, validExclusion(), OutcomeApplied},
		{"kind not that of the ID", "window", now, modified(validExclusion(), func(directive *Directive) { directive.Kind = KindCohort }), OutcomeRejected},
		{"empty ID part", "window", now, modified(validExclusion(), func(directive *Directive) { directive.ID = "window//t" }), OutcomeRejected},
		{"unknown ID prefix", "what", now, modified(validExclusion(), func(directive *Directive) { directive.ID = "what/a" }), OutcomeRejected},
		{"no servers", "window", now, modified(validExclusion(), func(directive *Directive) { directive.Servers = nil }), OutcomeRejected},
		{"duplicate server", "window", now, modified(validExclusion(), func(directive *Directive) { directive.Servers = []string{"s", "s"} }), OutcomeRejected},
		{"too many servers", "window", now, modified(validExclusion(), func(directive *Directive) { directive.Servers = manyServerUIDs(MaxServersPerDirective + 1) }), OutcomeRejected},
		{"too many copies", "spread", now, modified(spread, func(directive *Directive) { directive.Copies = copies }), OutcomeRejected},
		{"key hash in uppercase", "spread", now, modified(spread, func(directive *Directive) { directive.KeyHash = "0123456789ABCDEF" }), OutcomeRejected},
		{"load fraction above one", "spread", now, modified(spread, func(directive *Directive) { directive.Copies = []KeyCopy{{"s", 1.5}} }), OutcomeRejected},
	} {
		t.Run(test.name, func(t *testing.T) {
			table := NewTable()
			table.StartEpoch(1, 7)
			result := table.Apply(2, test.lease, &Op{LeaderTimeMS: now, WriterTimeMS: test.writerTimeMS, Set: []Directive{test.directive}})
			directives := 0
			if result.Outcome == OutcomeApplied {
				directives = 1
			}
			if result.Outcome != test.want || table.Len() != directives {
				t.Errorf("outcome %s (%s), %d directives; want outcome %s", result.Outcome, result.Reason, table.Len(), test.want)
			}
		})
	}
}

// A full table rejects operations that would exceed its bounds, and still accepts the replacement of a directive.
func TestApplyToFullTable(t *testing.T) {
	const now = 1_000_000_000
	table := NewTable()
	directiveCount := 0
	for ; directiveCount < MaxDirectives && table.totalBytes+300 <= MaxTotalBytes; directiveCount++ {
		table.set(2, exclusion(fmt.Sprint("window/a/", directiveCount), now+1, "s"))
	}
	oversized := exclusion("window/a/t", now+1000, "s1", "s2")
	oversized.Servers = manyServerUIDs(100)
	if result := table.Apply(2, "window/a", &Op{LeaderTimeMS: now, Set: []Directive{oversized}}); result.Outcome != OutcomeLimitReached || table.Len() != directiveCount {
		t.Errorf("operation above the limit: outcome %s", result.Outcome)
	}
	data, err := json.Marshal(table.CompleteUpdate(now))
	if err != nil || len(data) > MaxTotalBytes {
		t.Errorf("the complete update takes %d bytes: %v", len(data), err)
	}
	if update := table.ChangesSince(1, 0, now); directiveCount <= maxIncrementalChanges || !update.Complete {
		t.Errorf("the update with %d changes is not complete", directiveCount)
	}
	if result := table.Apply(3, "window/a", &Op{LeaderTimeMS: now, Set: []Directive{exclusion("window/a/t", now+1000, "s1", "s2")}, Delete: []string{"window/a/7"}}); result.Outcome != OutcomeApplied {
		t.Errorf("replacing a directive: outcome %s (%s)", result.Outcome, result.Reason)
	}
}

// Expired returns directives in the order of their expiry. Apply removes them, except those that were renewed after Expired
// returned them.
func TestApplyExpired(t *testing.T) {
	const now = 1_000_000_000
	table := NewTable()
	table.Apply(2, "window", &Op{LeaderTimeMS: now, Set: []Directive{exclusion("window/a/t", now+1000, "s1", "s2"), exclusion("window/b/t", now+5, "s")}})
	expired := table.Expired(now+1000, 10)
	if len(expired) != 2 || expired[0].ID != "window/b/t" {
		t.Fatalf("Expired returned %v", expired)
	}
	table.Apply(3, "window", &Op{LeaderTimeMS: now + 1, Set: []Directive{exclusion("window/a/t", now+5000, "s")}})
	table.Apply(4, "", &Op{LeaderTimeMS: now + 1000, Expired: expired})
	if remaining := slices.Collect(maps.Keys(table.directives)); len(remaining) != 1 || remaining[0] != "window/a/t" {
		t.Errorf("%v remain, want only the renewed directive", remaining)
	}
}
