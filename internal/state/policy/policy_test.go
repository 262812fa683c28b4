package policy_test

import (
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coursepass/internal/errcode"
	"coursepass/internal/state/policy"
)

func TestCompile_AndEvaluate(t *testing.T) {
	values := policy.Variables{
		"tokens": 8, "promptBytes": 900, "hall": "sur",
		"engineName": "engine-1", "engineHall": "norte", "engineVersion": "r2",
	}
	Convey("a rule is evaluated with its variables", t, func() {
		for text, expected := range map[string]bool{
			`tokens < 10`:        true,
			`engineHall == hall`: false,
			`engineVersion.startsWith("r") && promptBytes >= 900`: true,
			`engineName in ["engine-1", "engine-2"]`:              true,
			`tokens / 0 == 1`:                                     false,
		} {
			compiled, err := policy.Compile(policy.KindMatch, text)
			So(err, ShouldBeNil)
			So(compiled.Evaluate(values), ShouldEqual, expected)
		}
	})
	Convey("invalid rules are rejected", t, func() {
		for _, text := range []string{
			`tokens <`,
			`tokens + 1`,
			`unknown == 1`,
			`tries < 2`,
			`hall < 3`,
			`tokens > ` + strings.Repeat("1", 2000),
		} {
			_, err := policy.Compile(policy.KindMatch, text)
			So(errcode.CodeOf(err, 0), ShouldEqual, errcode.ConfigurationInvalid)
		}
	})
	Convey("a rule whose evaluation exceeds the maximum cost is false", t, func() {
		list := "[" + strings.Repeat("1,", 60) + "1]"
		compiled, err := policy.Compile(policy.KindMatch, list+".all(a, "+list+".all(b, a == b))")
		So(err, ShouldBeNil)
		So(compiled.Evaluate(values), ShouldBeFalse)
		compiled, err = policy.Compile(policy.KindMatch, "["+strings.Repeat("1,", 30)+"1].all(a, a == 1)")
		So(err, ShouldBeNil)
		So(compiled.Evaluate(values), ShouldBeTrue)
	})
}
