package messaging

// Features is the bit set of the features that a build supports in addition to those of the first build. An operation
// that a member of a shard does not support must not be appended to the shard's log: the member would ignore the entry,
// and the member's state would differ from then on.
type Features uint64

// FeatureAssignmentChange is the feature of builds that apply assignment changes.
const FeatureAssignmentChange Features = 1 << 0

// KnownFeatures is the set of the features that this build supports.
const KnownFeatures = FeatureAssignmentChange

// KnownByAll reports whether the servers at all members' addresses are known to support the features. It also returns
// false if any other server that has responded to a sender lacks one of the features: that server may be a learner,
// which becomes a member soon.
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
