/*
 * voters.h - which hosts with a disk vote, where operators choose none: how many, which
 * of them joins and which is removed. Decides by what the leader passes in, and keeps no
 * state.
 *
 * A host that is removed without a word cannot be told from one that comes back. So no
 * quorum may depend on one more host than it has to: the number of voters is odd and
 * grows with the hosts that are there, up to one tolerated loss more than the settings
 * ask for.
 */
#ifndef DK_VOTERS_H
#define DK_VOTERS_H

#include "decided.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct voter {
	host_id_t id;
	bool is_lost; /* silent for long, or shutting down */
} voter_t;

typedef struct voters {
	const voter_t *rows; /* in the order in which they joined; not owned */
	size_t n;
	size_t n_candidates; /* other hosts that could join now */
	uint32_t min;	     /* odd; fewer only while there are fewer hosts */
	host_id_t leader;    /* a voter */
	bool settled;	     /* the voters have been the same for long */
} voters_t;

/* Whether the voter stays one. */
bool voters_keep(const voters_t *v, host_id_t id);
/* Whether a candidate may become a voter. */
bool voters_admit(const voters_t *v);

#ifdef __cplusplus
}
#endif
#endif
