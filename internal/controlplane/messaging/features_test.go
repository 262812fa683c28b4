package messaging

import "testing"

// answeredSender returns a sender whose server has answered with features.
func answeredSender(features Features) *Sender {
	sender := NewSender(Options{})
	sender.features.Store(&features)
	return sender
}

func TestKnownByAll(t *testing.T) {
	const feature, other = FeatureAssignmentChange, Features(1 << 40)
	for name, testCase := range map[string]struct {
		senders map[string]*Sender
		known   bool
	}{
		"all members have answered":   {map[string]*Sender{"a": answeredSender(feature), "b": answeredSender(feature | other)}, true},
		"a member has not answered":   {map[string]*Sender{"a": answeredSender(feature), "b": NewSender(Options{})}, false},
		"a member was not sent to":    {map[string]*Sender{"a": answeredSender(feature)}, false},
		"a member is of an old build": {map[string]*Sender{"a": answeredSender(feature), "b": answeredSender(other)}, false},
		"a learner is of an old build": {map[string]*Sender{
			"a": answeredSender(feature), "b": answeredSender(feature), "learner": answeredSender(0),
		}, false},
		"a former member is silent": {map[string]*Sender{
			"a": answeredSender(feature), "b": answeredSender(feature), "former": NewSender(Options{}),
		}, true},
	} {
		if known := KnownByAll(testCase.senders, []string{"a", "b"}, feature); known != testCase.known {
			t.Errorf("%s: known %t", name, known)
		}
	}
	if !KnownByAll(nil, nil, feature) {
		t.Error("a member that is alone knows what it knows")
	}
}
