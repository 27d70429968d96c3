/*
 * voters.h - which hosts with a disk vote, where operators choose none: how many, which
 * of them joins and which is removed. Decides by what the leader passes in, and keeps no
 * state.
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
	uint32_t min; /* fewer only while there are fewer hosts */
} voters_t;

/* Whether the voter stays one. */
bool voters_keep(const voters_t *v, host_id_t id);
/* Whether a candidate may become a voter. */
bool voters_admit(const voters_t *v);

#ifdef __cplusplus
}
#endif
#endif
