package messaging

import "testing"

// answeredSender returns a sender that has received a response with the given features.
func answeredSender(features Features) *Sender {
	sender := NewSender(Options{})
	sender.features.Store(&features)
	return sender
}

// An entry that a member does not support makes the member's state differ from the others. KnownByAll must return true
// only if the features of all members are known from responses, and no other server that responded lacks one.
func TestKnownByAll(t *testing.T) {
	const feature, other = FeatureAssignmentChange, Features(1 << 40)
	for name, testCase := range map[string]struct {
		senders map[string]*Sender
		known   bool
	}{
		"all members have responded": {map[string]*Sender{"a": answeredSender(feature), "b": answeredSender(feature | other)}, true},
		"a member has not responded": {map[string]*Sender{"a": answeredSender(feature), "b": NewSender(Options{})}, false},
		"a member has no sender":     {map[string]*Sender{"a": answeredSender(feature)}, false},
		"a member has an old build":  {map[string]*Sender{"a": answeredSender(feature), "b": answeredSender(other)}, false},
		"a learner has an old build": {map[string]*Sender{
			"a": answeredSender(feature), "b": answeredSender(feature), "learner": answeredSender(0),
		}, false},
		"a former member has not responded": {map[string]*Sender{
			"a": answeredSender(feature), "b": answeredSender(feature), "former": NewSender(Options{}),
		}, true},
	} {
		if known := KnownByAll(testCase.senders, []string{"a", "b"}, feature); known != testCase.known {
			t.Errorf("%s: KnownByAll returned %t, want %t", name, known, testCase.known)
		}
	}
	if !KnownByAll(nil, nil, feature) {
		t.Error("KnownByAll returned false without other members, want true")
	}
}
