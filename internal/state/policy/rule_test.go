package rule_test

import (
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coursepass/internal/errcode"
	"coursepass/internal/state/policy"
)

func TestRules(test *testing.T) {
	values := rule.Names{
		"tokens": 8, "promptBytes": 900, "hall": "sur", "engineName": "engine-1", "engineHall": "norte", "engineVersion": "r2",
	}
	Convey("rules hold or not by the names they see", test, func() {
		for text, expected := range map[string]bool{
			`tokens < 10`: true, `engineHall == hall`: false, `engineVersion.startsWith("r") && promptBytes >= 900`: true,
			`engineName in ["engine-1", "engine-2"]`: true, `tokens / 0 == 1`: false,
		} {
			found, err := rule.Read(rule.Match, text)
			So(err, ShouldBeNil)
			So(found.Holds(values), ShouldEqual, expected)
		}
	})
	Convey("bad rules are declined", test, func() {
		for _, text := range []string{`tokens <`, `tokens + 1`, `unknown == 1`, `tries < 2`, `hall < 3`, `tokens > ` + strings.Repeat("1", 2000)} {
			_, err := rule.Read(rule.Match, text)
			So(mishap.CodeOf(err, 0), ShouldEqual, mishap.ConfigurationInvalid)
		}
	})
	Convey("a rule that costs too much does not hold", test, func() {
		list := "[" + strings.Repeat("1,", 60) + "1]"
		found, err := rule.Read(rule.Match, list+".all(a, "+list+".all(b, a == b))")
		So(err, ShouldBeNil)
		So(found.Holds(values), ShouldBeFalse)
		found, err = rule.Read(rule.Match, "["+strings.Repeat("1,", 30)+"1].all(a, a == 1)")
		So(err, ShouldBeNil)
		So(found.Holds(values), ShouldBeTrue)
	})
}
