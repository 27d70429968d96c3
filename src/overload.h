/*
 * overload.h - tells from the long turns of an event loop whether the host is
 * too slow for its work. The caller passes in the time; no I/O and no lock.
 */
#ifndef DK_OVERLOAD_H
#define DK_OVERLOAD_H

#include "util.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Long turns remembered; more than fit into the window do not matter. */
#define OVERLOAD_TURNS_MAX 8u

typedef struct overload_turn {
	int64_t end_us;
	int64_t duration_us;
} overload_turn_t;

/* Zero-initialize. */
typedef struct overload {
	overload_turn_t turns[OVERLOAD_TURNS_MAX]; /* a ring */
	uint32_t n;				   /* turns recorded so far */
} overload_t;

/*
 * Records a long turn that ends now. True if such turns, and more than one, have
 * taken at least half of the last OVERLOAD_WINDOW_US.
 */
bool overload_record_turn(overload_t *o, int64_t now_us, int64_t duration_us);

#ifdef __cplusplus
}
#endif
#endif
