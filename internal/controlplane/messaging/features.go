package messaging

// Features is a set of what a build knows beyond the first one. What a member of a shard does not know must not be put
// into the shard's log: it would ignore the entry, and its state would differ from then on.
type Features uint64

// FeatureAssignmentChange is the feature of builds that apply changes of assignments.
const FeatureAssignmentChange Features = 1 << 0

// KnownFeatures are those of this build.
const KnownFeatures = FeatureAssignmentChange

// KnownByAll tells whether the servers at the members' addresses are all known to have the features. No other server
// that has answered a sender may lack them either: it may be a learner, which becomes a member soon.
func KnownByAll(senders map[string]*Sender, members []string, features Features) bool {
	for _, sender := range senders {
		if known, answered := sender.Features(); answered && known&features != features {
			return false
		}
	}
	for _, address := range members {
		sender, exists := senders[address]
		if !exists {
			return false
		}
		if _, answered := sender.Features(); !answered {
			return false
		}
	}
	return true
}
