/*
 * change.h - changes of the configuration that operators submit. A change is a
 * list of operations on the decided tables, applied either as a whole or, if
 * any operation is invalid, not at all.
 */
#ifndef DK_CHANGE_H
#define DK_CHANGE_H

#include "decided.h"
#include "state.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Largest sizes in bytes: of a packed change, its fields, and any name. */
#define CHANGE_BYTES_MAX (1u << 20)
#define CHANGE_ID_BYTES_MAX 64u
#define CHANGE_AUTHOR_BYTES_MAX 64u
#define NAME_BYTES_MAX 64u

/*
 * Applies a packed Change (proto/change.proto), the log entry at index.
 *
 * A change that was decided before under the same id gets the outcome of that
 * time, with out->resent set. Any other change must be based on the current
 * revision. On CHANGE_DECIDED *d is replaced by the changed tables with the
 * next revision; otherwise, and for a resent change, *d stays as it is.
 * out->error points into *error, which the caller owns.
 */
void change_apply(decided_t **d, str_t packed, uint64_t index,
		  change_outcome_t *out, buf_t *error);

/*
 * Fills the outcome of the decided change with this id, for a submitter that
 * asks again. Returns false if the tables have no such change.
 */
bool change_find_outcome(const decided_t *d, str_t change_id,
			 change_outcome_t *out);

/* Appends the change id of a packed Change; -1 if malformed or without id. */
int change_read_id(str_t packed, buf_t *out);

/*
 * Whether a name has 1 to NAME_BYTES_MAX ASCII letters, digits, '.', '_' and
 * '-', and starts with a letter or digit.
 */
bool name_valid(str_t name);
/* Whether a name is a sequence of valid names, separated by single slashes. */
bool model_name_valid(str_t name);
/* Whether it is "ipv4:port" or "[ipv6]:port" with a port above 0. */
bool addr_valid(str_t addr);

#ifdef __cplusplus
}
#endif
#endif
