package sharedconfig

import "maps"

// leaseRetryDivisor divides the interval between two lease requests while the latest one is not granted. The group may
// have a leader only for a short time.
const leaseRetryDivisor = 8

// requestLease requests a lease when one is due. Requests are frequent enough that several in a row may be lost before
// the staleness bound passes.
func (c *Core) requestLease() {
	if c.lease.Removed || c.now < c.lastOwnLeaseRequestAt+c.leaseRequestInterval() {
		return
	}
	maps.DeleteFunc(c.ownLeaseRequests, func(_ uint64, requestedAt Micros) bool {
		return requestedAt+c.settings.StalenessBound <= c.now
	})
	c.lastOwnLeaseRequestSeq++
	c.ownLeaseRequests[c.lastOwnLeaseRequestSeq] = c.now
	c.lastOwnLeaseRequestAt = c.now
	c.emit(RequestLease{Seq: c.lastOwnLeaseRequestSeq})
}

func (c *Core) leaseRequestInterval() Micros {
	_, isPending := c.ownLeaseRequests[c.lastOwnLeaseRequestSeq]
	if isPending || c.lastOwnLeaseRequestSeq == 0 {
		return c.settings.LeaseRenewalInterval / leaseRetryDivisor
	}
	return c.settings.LeaseRenewalInterval
}

func (c *Core) handleLeaseReply(e LeaseReplyReceived) {
	requestedAt, isPending := c.ownLeaseRequests[e.Seq]
	if !isPending || !e.OK {
		return
	}
	delete(c.ownLeaseRequests, e.Seq)
	if e.Removed {
		c.lease = Lease{Removed: true}
		c.emit(SetLease{Lease: c.lease})
		c.logf("this instance was removed from its group: it stops serving")
		return
	}
	expiresAt := grantExpiry(requestedAt, c.settings.StalenessBound)
	if expiresAt <= c.now {
		return
	}
	c.lease = c.lease.withGrant(Grant{Version: e.Version, ExpiresAt: expiresAt}, c.now)
	c.emit(SetLease{Lease: c.lease})
}

// handleLeaseRequested queues a lease request for the next verification of the leadership. A verification in progress
// does not count for it, since it may have begun before the request.
func (c *Core) handleLeaseRequested(e LeaseRequested) {
	if !c.leading || !c.leaderReady {
		c.emit(LeaseReply{CallID: e.CallID})
		return
	}
	c.leaseRequestReceivedAt[e.DirectoryID] = c.now
	c.queuedLeaseRequests = append(c.queuedLeaseRequests, e)
}

// startVerification verifies the leadership for the queued lease requests. It waits while a newer version may be active
// that is not applied here, since a grant must not confirm a replaced version.
func (c *Core) startVerification() {
	if len(c.queuedLeaseRequests) == 0 || c.verificationSeq != 0 || c.newerVersionMayBeActive() {
		return
	}
	c.lastSeq++
	c.verificationSeq = c.lastSeq
	c.verifyingLeaseRequests = c.queuedLeaseRequests
	c.queuedLeaseRequests = nil
	c.verifyingVersion = c.state.Active().Number
	c.emit(VerifyLeadership{Seq: c.verificationSeq})
}

// handleVerifyLeadershipResult answers the lease requests that waited for the verification. The replies confirm the
// version that was active when the verification began.
func (c *Core) handleVerifyLeadershipResult(e VerifyLeadershipResult) {
	if e.Seq != c.verificationSeq {
		return
	}
	isLeader := e.OK && e.Term == c.term
	for _, request := range c.verifyingLeaseRequests {
		reply := LeaseReply{CallID: request.CallID}
		if isLeader && c.verifyingVersion > 0 {
			_, isMember := c.findMember(func(m Member) bool { return m.DirectoryID == request.DirectoryID })
			reply.Version = c.verifyingVersion
			reply.Removed = c.state.IsRetired(request.DirectoryID)
			reply.OK = isMember || reply.Removed
		}
		c.emit(reply)
	}
	c.verifyingLeaseRequests = nil
	c.verificationSeq = 0
}
