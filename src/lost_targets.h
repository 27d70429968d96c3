/*
 * lost_targets.h - which requests targets were lost under, by what is alike each time a
 * request comes again. One under which several were lost is refused for a time, then one
 * is let pass, as a trial; an answer forgets it. Each daemon knows its own requests.
 *
 * Bounded; has a lock of its own, under which no other is taken. The caller passes in
 * the time.
 */
#ifndef DK_LOST_TARGETS_H
#define DK_LOST_TARGETS_H

#include "util.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct lost_targets lost_targets_t;

lost_targets_t *lost_targets_new(void);
/* l may be NULL. */
void lost_targets_free(lost_targets_t *l);
/* A target was lost under a request with this digest, before it answered. */
void lost_targets_note(lost_targets_t *l, uint64_t digest, int64_t now_us);
/* Such a request was answered. */
void lost_targets_clear(lost_targets_t *l, uint64_t digest);
/* Whether such a request is refused now; where it is not, it may be the trial. */
bool lost_targets_refuses(lost_targets_t *l, uint64_t digest, int64_t now_us);

#ifdef __cplusplus
}
#endif
#endif
