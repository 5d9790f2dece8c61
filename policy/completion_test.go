package policy

import "testing"

func TestEveryQueryEndsBeforeItsTimeout(t *testing.T) {
	for class := range testSettings().Classes {
		h := newHarness(t, singleRingSettings())
		id, events := h.newQuery(class, 3)
		h.step(0, events...)
		for end := h.now + h.aggregator.settings.Classes[class].Timeout; h.now < end-h.aggregator.settings.Tick; {
			h.step(h.aggregator.settings.Tick, Timer{})
		}
		if h.finalActions(id) != 1 {
			t.Errorf("class %d: %d final answers before its time was up, want 1", class, h.finalActions(id))
		}
	}
}

func TestAnswersReportTheirCoverage(t *testing.T) {
	for _, in := range []int{3, 4, 5} { // of 5 parts; least is 0.8
		h := newHarness(t, singleRingSettings(), append(readyEndpoints(1, 2, 3), readyEndpoints(4, 5, 6)...)...)
		id, events := h.newQuery(4, 5)
		sent := actionsOf[SendAttempt](h.step(0, events...))
		for i := range in { // the lightest parts leave only when others have been answered
			s := sent[i]
			sent = append(sent, actionsOf[SendAttempt](h.step(1000, AttemptResult{Part: s.Part, Server: s.Server, Status: OK, Report: NoLoadReport}))...)
		}
		for range 360 {
			h.step(h.aggregator.settings.Tick, Timer{})
		}
		answers := actionsOf[Answer](h.actions)
		if want := boolToInt(in >= 4); len(answers) != want {
			t.Fatalf("%d of 5 in: %d answers before the aim, want %d", in, len(answers), want)
		}
		if len(answers) > 0 && (answers[0].Complete != (in == 5) || answers[0].Query != id) {
			t.Errorf("%d of 5 in: answered %+v", in, answers[0])
		}
	}
}
