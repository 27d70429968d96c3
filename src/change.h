/*
 * change.h - operators' changes: checked whole against the tables that they
 * are based on, then applied whole or not at all.
 */
#ifndef DK_CHANGE_H
#define DK_CHANGE_H

#include "decided.h"
#include "state.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Bounds of one change. */
#define CHANGE_BYTES_MAX (1u << 20)
#define CHANGE_ID_BYTES_MAX 64u
#define CHANGE_AUTHOR_BYTES_MAX 64u
#define NAME_BYTES_MAX 64u

/*
 * Applies a packed Change (proto/change.proto) as the entry at log index.
 *
 * A change whose id was decided before gets that first outcome again. Else
 * its base revision must be the current one. On CHANGE_DECIDED *d is replaced
 * by the edited tables at the next revision; else *d is left as it is.
 * out->error points into *error, which the caller owns.
 */
void change_apply(decided_t **d, str_t packed, uint64_t index,
		  change_outcome_t *out, buf_t *error);

/* Outcome of a decided change id, for resends; false where there is none. */
bool change_find_outcome(const decided_t *d, str_t change_id,
			 change_outcome_t *out);

/* The change id in a packed Change, copied to out; -1 where malformed. */
int change_read_id(str_t packed, buf_t *out);

/* Letters, digits, '.', '_', '-'; the first a letter or digit. */
bool name_valid(str_t name);
/* As name_valid(), with slashes between such names. */
bool model_name_valid(str_t name);
/* "ip:port" or "[ip6]:port" with a port above 0. */
bool addr_valid(str_t addr);

#ifdef __cplusplus
}
#endif
#endif
