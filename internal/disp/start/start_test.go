package start

import (
	"fmt"
	"testing"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/msgs"
)

// ms returns the time that many milliseconds after a start was ordered.
func ms(n int) boot.Time { return boot.Time(time.Hour).Add(time.Duration(n) * time.Millisecond) }

// A start without an answer may have begun or not when its target goes down, so that proves no
// crash under the task. One that was answered shortly before had begun.
func ExampleState_Crash() {
	ordered := State{}.Order(ms(0))
	down := ms(20)
	fmt.Println(ordered.Doubt().Crash(down))
	fmt.Println(ordered.Answer(ms(0), 100*time.Millisecond).Crash(down))
	// Output:
	// suspected
	// proven
}

func TestCrash(t *testing.T) {
	ordered := State{}.Order(ms(0))
	running := ordered.Answer(ms(0), time.Second)
	for _, tc := range []struct {
		name   string
		state  State
		downAt boot.Time
		want   msgs.Crash
	}{
		{"not ordered", State{}, ms(10), msgs.NoCrash},
		{"ordered", ordered, ms(10), msgs.CrashSuspected},
		{"in doubt", ordered.Doubt(), ms(10), msgs.CrashSuspected},
		{"known by its number", ordered.Doubt().Know(), ms(10), msgs.CrashSuspected},
		{"listed after that", ordered.Doubt().Know().See(ms(5), time.Second), ms(10), msgs.CrashProven},
		{"listed before the answer", ordered.See(ms(5), time.Second), ms(10), msgs.CrashProven},
		{"in progress", running, ms(10), msgs.CrashProven},
		{"in progress at a silent target", running, 0, msgs.CrashSuspected},
		{"about to end", ordered.Answer(ms(0), 19*time.Millisecond), ms(10), msgs.CrashSuspected},
		{"at the limit", ordered.Answer(ms(0), 20*time.Millisecond), ms(10), msgs.CrashProven},
		{"not seen for too long", ordered.Answer(ms(0), time.Minute), ms(251), msgs.CrashSuspected},
		{"seen since", ordered.Answer(ms(0), time.Minute).See(ms(200), time.Minute), ms(251), msgs.CrashProven},
		{"an older answer arrives later", running.See(ms(-200), time.Second), ms(10), msgs.CrashProven},
		{"to be stopped", running.Stop(ms(5)), ms(10), msgs.CrashSuspected},
		{"to be stopped since its target was down", running.Stop(ms(15)), ms(10), msgs.CrashProven},
		{"ended before", running.End(), ms(10), msgs.NoCrash},
		{"moved from a run", running.Move(msgs.CrashProven), 0, msgs.CrashProven},
		{"moved, and down again", ordered.Doubt().Move(msgs.CrashSuspected), ms(20), msgs.CrashSuspected},
		{"in progress after a restart", ordered.Doubt().Move(msgs.CrashSuspected).See(ms(20), time.Second), ms(30), msgs.CrashProven},
		{"detached", ordered.Detach(), ms(10), msgs.CrashSuspected},
		{"detached and answered", ordered.Detach().Answer(ms(0), time.Second), ms(10), msgs.CrashProven},
	} {
		if got := tc.state.Crash(tc.downAt); got != tc.want {
			t.Errorf("%s: got %v, want %v", tc.name, got, tc.want)
		}
	}
}

// An exclusion proves that a start without an answer never took effect, unless its target has
// restarted since.
func TestCrashIfExcluded(t *testing.T) {
	ordered := State{}.Order(ms(0))
	for _, tc := range []struct {
		name        string
		state       State
		want        msgs.Crash
		mayHaveBeen bool
	}{
		{"in doubt", ordered.Doubt(), msgs.NoCrash, false},
		{"in progress", ordered.Answer(ms(0), time.Second), msgs.NoCrash, true},
		{"known by its number", ordered.Doubt().Know(), msgs.NoCrash, true},
		{"moved from a doubt", ordered.Doubt().Move(msgs.CrashSuspected), msgs.CrashSuspected, true},
		{"moved from a run", ordered.Answer(ms(0), time.Second).Move(msgs.CrashProven), msgs.CrashProven, true},
	} {
		got, mayHaveBeen := tc.state.Exclude(ms(20), true).CrashIfExcluded()
		if got != tc.want || mayHaveBeen != tc.mayHaveBeen {
			t.Errorf("%s: got %v, %v, want %v, %v", tc.name, got, mayHaveBeen, tc.want, tc.mayHaveBeen)
		}
	}
}

// A run that has another number may not have begun, whatever showed the one with the former number,
// and stays as it is until a poll lists it that was sent since.
func TestRunWithANewNumberIsNotSeenUnderTheFormerOne(t *testing.T) {
	s := State{}.Order(ms(0)).See(ms(5), time.Second).Renumber(ms(10)).Doubt()
	if got := s.Crash(ms(20)); got != msgs.CrashSuspected || !s.InDoubt() || s.HasBegun() || s.ListsEnd() {
		t.Errorf("got %v of %+v", got, s)
	}
	if s.IsShownBy(ms(8)) || s.IsShownBy(ms(10)) || !s.IsShownBy(ms(11)) {
		t.Errorf("got %+v, which a poll shows that was sent since", s)
	}
	if stopping := s.Stop(ms(12)).Renumber(ms(14)); !stopping.Stopping() {
		t.Errorf("got %+v, which is to be stopped", stopping)
	}
}

// An answer to the order shows the run, so what is listed under its number is that run.
func TestRunThatHasBegunIsShownByEarlierPolls(t *testing.T) {
	if s := (State{}.Order(ms(0)).Answer(ms(0), time.Second)); !s.IsShownBy(ms(-5)) {
		t.Errorf("got %+v", s)
	}
}

// A run that was listed before its order remained without an answer has started: its task must not be
// told as one that never did.
func TestListedRunIsNotInDoubt(t *testing.T) {
	s := State{}.Order(ms(0)).See(ms(5), time.Second).Doubt()
	if _, mayHaveStarted := s.Exclude(ms(20), true).CrashIfExcluded(); s.InDoubt() || !mayHaveStarted {
		t.Errorf("got %+v", s)
	}
}

func TestRestartForgetsWhatTheFormerIncarnationHasAnswered(t *testing.T) {
	s := State{}.Order(ms(0)).Answer(ms(0), time.Second).Stop(ms(2)).Exclude(ms(5), true).Move(msgs.CrashProven)
	if s.ListsEnd() || s.Stopped() || s.ExcludedAt() != 0 || !s.InDoubt() {
		t.Errorf("got %+v", s)
	}
	if !s.Stopping() || !s.HasBegun() {
		t.Errorf("got %+v, which has begun and is to be stopped", s)
	}
}

// A target that has refused a connection and has listed the run since is not down: what it refused
// proves nothing about a later silence.
func TestRunSeenAfterARefusedConnectionIsNoProvenCrash(t *testing.T) {
	s := State{}.Order(ms(0)).Answer(ms(0), time.Second).See(ms(20), time.Second)
	if got := s.Crash(ms(10)); got == msgs.CrashProven {
		t.Errorf("got %v", got)
	}
}

// A run that was in progress when its target crashed, and is carried out once more by the
// incarnation that has replaced it, must not lose the proof when it is stopped there.
func TestProofOfARestartOutlivesTheStopOfTheSecondRun(t *testing.T) {
	s := State{}.Order(ms(0)).Answer(ms(0), time.Second).Move(msgs.CrashProven).See(ms(20), time.Second).Stop(ms(30)).Exclude(ms(31), true)
	if got, _ := s.CrashIfExcluded(); got != msgs.CrashProven {
		t.Errorf("got %v", got)
	}
}

// Silence of the second incarnation adds nothing to what the restart has proved, but a run that was
// in progress at both has crashed both.
func TestSilenceAfterARestartIsNoSecondProof(t *testing.T) {
	s := State{}.Order(ms(0)).Doubt().Move(msgs.CrashSuspected).See(ms(20), time.Second)
	if got := s.Crash(0); got != msgs.CrashSuspected {
		t.Errorf("got %v", got)
	}
}
