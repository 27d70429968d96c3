/*
 * rate.h - exponentially decayed request rates of adapters. Placement uses them
 * to estimate what an eviction costs. The number of adapters is bounded.
 */
#ifndef DK_RATE_H
#define DK_RATE_H

#include <glib.h>

#include "util.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct rates {
	GHashTable *by_hash; /* hash of the adapter's name -> rate_t */
} rates_t;

void rates_init(rates_t *r);
void rates_free(rates_t *r);
/* Records count requests for an adapter at the time now. */
void rates_add(rates_t *r, uint32_t hash, double count, int64_t now);
/* Expected requests per second; 0 for an adapter that is not known. */
double rates_get(const rates_t *r, uint32_t hash, int64_t now);

#ifdef __cplusplus
}
#endif
#endif
