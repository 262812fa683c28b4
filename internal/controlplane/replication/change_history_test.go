package replication

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coursepass/internal/errcode"
)

// The leader appends changes at log indexes, and then checks one that was delayed. It must reject the change if any
// change of the same subject may have been appended after the index that was observed.
func TestChangeHistory_RejectsOvertakenChanges(t *testing.T) {
	always, never := func() bool { return true }, func() bool { return false }
	for _, testCase := range []struct {
		name        string
		appended    []Change
		change      Change
		commitIndex uint64
		accepted    bool
	}{
		{"nothing was appended in this term", nil, Change{Subject: "a", ObservedIndex: 100}, 101, true},
		{"observed before an earlier term ended", nil, Change{Subject: "a", ObservedIndex: 99}, 101, false},
		{"observed nothing", nil, Change{Subject: "a"}, 101, false},
		{"observed before a change of the subject", []Change{{Subject: "a"}}, Change{Subject: "a", ObservedIndex: 100}, 101, false},
		{"observed that change", []Change{{Subject: "a"}}, Change{Subject: "a", ObservedIndex: 101}, 101, true},
		{"another subject was changed", []Change{{Subject: "b"}}, Change{Subject: "a", ObservedIndex: 100}, 101, true},
		{"all subjects were changed", []Change{{Subject: AllSubjects}}, Change{Subject: "a", ObservedIndex: 100}, 101, false},
		{"operations that no caller asked for", []Change{{}, {}}, Change{Subject: "a", ObservedIndex: 100}, 102, true},
		{"harmless", []Change{{Subject: "a"}}, Change{Subject: "a", ObservedIndex: 100, Harmless: always}, 101, true},
		{"not harmless", []Change{{Subject: "a"}}, Change{Subject: "a", ObservedIndex: 100, Harmless: never}, 101, false},
		{
			"harmless by a state that lacks the latest change",
			[]Change{{Subject: "a"}}, Change{Subject: "a", ObservedIndex: 100, Harmless: always}, 100, false,
		},
	} {
		Convey(testCase.name, t, func() {
			var history changeHistory
			history.beginTerm(4, 101)
			for number, change := range testCase.appended {
				history.record(change.Subject, 101+uint64(number))
			}
			testCase.change.Unconditional = true
			err := history.check(testCase.change, testCase.commitIndex)
			So(err == nil, ShouldEqual, testCase.accepted)
			if err != nil {
				So(errcode.CodeOf(err, errcode.OK), ShouldEqual, errcode.NoQuorum)
			}
			testCase.change.Unconditional = false
			So(history.check(testCase.change, testCase.commitIndex), ShouldBeNil)
		})
	}
}

// A change that a leader appended must count after the same server has led another term, and after more subjects were
// changed than are remembered one by one.
func TestChangeHistory_NeverForgetsChanges(t *testing.T) {
	Convey("a change is overtaken at log index 101", t, func() {
		var history changeHistory
		history.beginTerm(4, 101)
		history.record("a", 101)
		overtaken := Change{Subject: "a", Unconditional: true, ObservedIndex: 100}
		So(history.check(overtaken, 101), ShouldNotBeNil)

		Convey("the same term goes on", func() {
			history.beginTerm(4, 101)
			So(history.check(overtaken, 101), ShouldNotBeNil)
		})
		Convey("a later term begins", func() {
			history.beginTerm(7, 102)
			So(history.check(overtaken, 102), ShouldNotBeNil)
			So(history.latest, ShouldBeEmpty)
		})
		Convey("many other subjects change", func() {
			for number := range maxChangeSubjects + 1 {
				history.record(string(rune('b'+number)), 102+uint64(number))
			}
			So(len(history.latest), ShouldBeLessThanOrEqualTo, maxChangeSubjects)
			So(history.check(overtaken, 20000), ShouldNotBeNil)
		})
	})
}
