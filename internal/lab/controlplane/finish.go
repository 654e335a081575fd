package controlplane

import (
	"fmt"
	"strings"

	"milldeck/internal/disruption"
	"milldeck/internal/release"
)

// finish judges how the night ends.
func (j *referee) finish() {
	w := j.w
	want, listed := map[string]string{}, map[string]bool{}
	for _, name := range w.plane.releases.Names() {
		s, _ := w.plane.releases.Get(name)
		if !s.Status.Phase.Finished() {
			j.breaks(ruleStranded, fmt.Sprintf("release %s is %s at the end: %s %s", name, s.Status.Phase, s.Status.HaltReason, w.why(s)))
		}
		for i := range s.Units {
			u := &s.Units[i]
			want[u.ID] = u.Previous.Version
			if s.Status.Phase == release.PhaseCompleted {
				want[u.ID] = u.Target.Version
			}
			for _, line := range s.Status.Stranded {
				listed[u.ID] = listed[u.ID] || strings.HasPrefix(line, u.ID+" ") || strings.HasPrefix(line, u.ID+":")
			}
		}
	}
	for _, u := range w.units {
		j.see(u)
		version := want[u.ID]
		if version == "" {
			version = "1"
		}
		switch {
		case listed[u.ID]:
		case u.gone && u.judged.in:
			j.breaks(ruleStranded, u.ID+" serves, and should be gone")
		case u.gone:
		case !u.judged.in:
			j.breaks(ruleStranded, fmt.Sprintf("%s is out since %.0f s: alive %v, Terminating %v, busy %v", u.ID,
				float64(u.judged.since-w.begin)/1000, u.alive, w.plane.drains[u.ID] != 0, u.busy))
		case u.version != version:
			j.breaks(ruleStranded, fmt.Sprintf("%s is on version %s, should be on %s", u.ID, u.version, version))
		}
	}
	for _, win := range w.plane.windows.Windows() {
		if win.OutOfService() {
			p, _ := w.plane.permit(win.PermitID())
			j.breaks(ruleStranded, fmt.Sprintf("window %s is %s at the end: %s, permit %s", win.Name, win.Stage, win.Reason, p.Stage))
			for _, uid := range win.ServerUIDs {
				k, _ := w.plane.ledger.Unit(disruption.UnitID(disruption.KindServer, uid))
				j.breaks(ruleStranded, fmt.Sprintf("%s serves %v, ledger %+v, permit out %d back %d", uid, w.names[uid].judged.in, k, p.BeginRevision, p.ReturnRevision))
			}
		}
	}
	for _, u := range w.sidecars {
		w.lapseAll(u)
	}
}

// why tells what a release waits for.
func (w *world) why(s *release.State) string {
	var out []string
	for i := range s.Units {
		if u := &s.Units[i]; u.Stage != release.StageConverged && u.Stage != release.StagePending && len(out) < 3 {
			k, _ := w.plane.ledger.Unit(u.ID)
			m, _ := w.plane.permit(s.PermitID(u))
			out = append(out, fmt.Sprintf("%s %s back %v %s (ledger: %s, permit %s of revision %d, out at %d, undone %v)", u.ID, u.Stage, u.Rollback, u.Reason,
				k.Condition, m.Stage, m.GrantRevision, m.BeginRevision, m.Aborted))
		}
	}
	halts := w.plane.ledger.Halts()
	return strings.Join(out, "; ") + fmt.Sprint(halts)
}
