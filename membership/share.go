package membership

// MaxMembers is how many a fleet may have for all shares that are drawn from its views to hold. More are not refused:
// it is what a newcomer counts on before its view is settled.
const MaxMembers = 1024

// Share is this member's place among those that share what the stores bear, and how many these are. It rests on one
// rule: all members' shares together are never more than one whole. So whoever is known and has not left as planned
// counts, dead or alive, for as long as it is remembered: it may be alive on the other side of a cut, and count on its
// own share. A newcomer may know a part of the fleet only, and some may not have heard of it; until its view has stood
// still for a while, and been another's too, it takes the smallest share that there is, which is all that there may be
// beyond the whole. The settings' number is the least: more members than they say make the share smaller, fewer do
// not make it larger.
func (v View) Share(self ID, number, fleet int) (int, int) {
	if !v.Converged {
		return number, max(fleet, MaxMembers)
	}
	count, rank := 0, 0
	for _, m := range v.Members {
		if m.State == Left {
			continue
		}
		if m.ID == self {
			rank = count
		}
		count++
	}
	if count <= fleet {
		return number, fleet
	}
	return rank, count
}
