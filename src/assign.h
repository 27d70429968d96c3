/*
 * assign.h - chooses the daemon that owns each target. Only the leader calls
 * this, and commits the result to the log.
 */
#ifndef DK_ASSIGN_H
#define DK_ASSIGN_H

#include "machine.h"
#include "session.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Most owner changes in one log entry. */
#define ASSIGN_CHANGES_MAX 512u

/*
 * Computes the next owner changes from the tables in force and the sessions.
 *
 * The preferred owner of a target is the host with the highest rendezvous score
 * among the live hosts of the target's zone that are not draining, or of all
 * zones if there is none in its own. A target is taken from its owner if the
 * owner's lease is over, if it has left, is draining or is no longer in the
 * tables. Otherwise a target only moves to its preferred owner, at most
 * max_moves targets per call, and once that host has been live for stable_us.
 *
 * If the lease of the old owner may still be running, the target first gets no
 * owner (0), and the old one gets no more requests for it. The next owner is
 * assigned when the old one has applied that entry or its lease is over. So two
 * hosts that are both within their leases never both consider themselves the
 * owner of a target.
 *
 * Fills in at most ASSIGN_CHANGES_MAX changes and returns their number.
 * *call_again says that another call may give more changes even if neither the
 * tables nor the set of live hosts has changed by then.
 */
size_t assign_pick_owners(const decided_t *d, const sessions_t *s,
			  int64_t now_us, int64_t stable_us, size_t max_moves,
			  assignment_t *out, bool *call_again);

#ifdef __cplusplus
}
#endif
#endif
