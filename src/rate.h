/*
 * rate.h - decayed request rates of adapters, bounded in number; the
 * popularity that eviction and placement go by.
 */
#ifndef DK_RATE_H
#define DK_RATE_H

#include <glib.h>

#include "util.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct rates {
	GHashTable *v; /* adapter hash -> rate_t */
} rates_t;

void rates_init(rates_t *r);
void rates_free(rates_t *r);
/* count requests for the adapter at now. */
void rates_add(rates_t *r, uint32_t hash, double count, int64_t now);
/* Expected requests a second. */
double rates_get(const rates_t *r, uint32_t hash, int64_t now);

#ifdef __cplusplus
}
#endif
#endif
