/*
 * holdoff.h - targets that this daemon sends no requests to for a time, as they
 * asked for it in a response: one that is overloaded until it can take requests
 * again, one that shuts down for good. Not thread-safe; the caller passes in the
 * time.
 */
#ifndef DK_HOLDOFF_H
#define DK_HOLDOFF_H

#include "util.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct holdoff holdoff_t;

holdoff_t *holdoff_new(void);
/* h may be NULL. */
void holdoff_free(holdoff_t *h);
/*
 * Holds off the target for for_us from now, or longer if it is so already.
 * HOLDOFF_LEAVING: its process ends and does not come back.
 */
#define HOLDOFF_LEAVING INT64_MAX
void holdoff_add(holdoff_t *h, str_t target, int64_t for_us, int64_t now_us);
bool holdoff_is_active(const holdoff_t *h, str_t target, int64_t now_us);
/*
 * Stores views of at most max ids of targets that are held off, those that were
 * added last first; returns how many. Targets that have been leaving for long are
 * left out. The views are valid until the next change.
 */
size_t holdoff_list(const holdoff_t *h, int64_t now_us, str_t *out, size_t max);

#ifdef __cplusplus
}
#endif
#endif
