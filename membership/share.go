package membership

// AssumedGroupSize is the group size that a new member assumes until its view has converged; see View.CapacityShare. It
// does not limit the size of a group, but in a larger group the shares of new members may add up to more than one.
const AssumedGroupSize = 1024

// CapacityShare returns the index of a member among the members that share a capacity in equal parts, and the number of
// these members. The shares of all members with a converged view never add up to more than the whole, unless a
// partition lasts longer than Config.TombstoneTTL:
//   - Every known member that has not left counts, whether alive or dead, until its tombstone expires: it may be alive
//     on the other side of a partition.
//   - A member whose view has not converged may know only a part of the group. It takes the share of one of
//     AssumedGroupSize, or of the configured count if that is larger. Its share may come on top of the whole.
//   - If the group is larger than the configured count, the share becomes smaller. If the group is smaller, the share
//     does not become larger.
//
// The configured index and count are returned if the configured count is at least the number of members that count.
func (v View) CapacityShare(self ID, configuredIndex, configuredCount int) (index, count int) {
	if !v.Converged {
		return configuredIndex, max(configuredCount, AssumedGroupSize)
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
