package membership

// MaxMembers is the number of members up to which the shares of View.CapacityShare add up to one. A larger group is not refused;
// it is the size that a new member assumes until its view has converged.
const MaxMembers = 1024

// CapacityShare returns this member's index among the members that share a capacity, and their number. The shares of all members
// never add up to more than one, so that the shared capacity is not exceeded:
//   - Every known member that has not left counts, dead or alive, until its tombstone expires: it may be alive on the
//     other side of a partition.
//   - Until its view has converged, a member takes the share of one of MaxMembers, since it may know a part of the group
//     only. These shares may come on top of the whole.
//   - A larger group than configured makes the share smaller; a smaller one does not make it larger.
//
// The configured index and count are returned where the configured count is large enough.
func (v View) CapacityShare(self ID, configuredIndex, configuredCount int) (index, count int) {
	if !v.Converged {
		return configuredIndex, max(configuredCount, MaxMembers)
	}
	for _, member := range v.Members {
		if member.State == StateLeft {
			continue
		}
		if member.ID == self {
			index = count
		}
		count++
	}
	if count <= configuredCount {
		return configuredIndex, configuredCount
	}
	return index, count
}
