/*
 * assign.h - which daemon shall own each target; decided by the leader.
 */
#ifndef DK_ASSIGN_H
#define DK_ASSIGN_H

#include "machine.h"
#include "session.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Most pairs in one decision. */
#define ASSIGN_MAX 512u

/*
 * Picks the next owner changes from the tables in force and the sessions.
 *
 * The owner of a target is the live host that is not draining with the
 * highest rendezvous score, among those of the target's zone if there are any.
 * A target moves only from an owner whose session is over, that left, is
 * draining or gone from the tables; besides, up to max_moves targets go back
 * to their first choice once that host has been live for settle_us.
 *
 * An owner whose lease may be running first loses the target (owner 0) and is
 * asked nothing more; the next owner is named once the old one has that
 * decision in force, or its session is over. So no two hosts that are within
 * their leases take themselves for the owner of one target.
 *
 * Fills at most ASSIGN_MAX pairs and returns the number. *waits tells that
 * calling again makes sense although neither tables nor live hosts change.
 */
size_t assign_pick(const decided_t *d, const sessions_t *s, int64_t now_us,
		   int64_t settle_us, size_t max_moves, assignment_t *out,
		   bool *waits);

#ifdef __cplusplus
}
#endif
#endif
