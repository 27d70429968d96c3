/*
 * slot.h - adapter slots of one runner: what is resident, pinned, awaited or
 * on its way, and which one to evict.
 * Pure bookkeeping; the owner sends the orders.
 */
#ifndef DK_SLOT_H
#define DK_SLOT_H

#include "serve.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef enum slot_state {
	SLOT_EMPTY,
	SLOT_LOADING,	/* load order sent */
	SLOT_RESIDENT,	/* may run */
	SLOT_UNLOADING, /* unload order sent; nothing may start on it */
} slot_state_t;

typedef struct slot {
	slot_state_t state;
	str_t adapter; /* owned; empty when SLOT_EMPTY */
	uint32_t hash; /* slot_hash(adapter) */
	uint32_t running;
	uint32_t n_waiting; /* waiting requests for this adapter */
	/* Runs that the engine reported and this owner did not start. */
	uint32_t foreign;
	bool draining;	/* nothing more starts on it: it is to be evicted */
	bool redundant; /* another target has it too, as last priced */
	int64_t loaded_at_us; /* resident since */
	int64_t load_us;
	int64_t last_used_us; /* last run started */
	uint64_t order_id;    /* load or unload under way here; 0: none */
	int64_t runs_left_us; /* expected time until its runs end, as last priced */
	double evict_cost_us; /* expected cost of evicting it, as last priced */
} slot_t;

typedef struct slots {
	slot_t *v; /* owned */
	uint32_t n;
} slots_t;

void slots_init(slots_t *s, uint32_t n);
void slots_free(slots_t *s);
/* Changes the number of slots; resident adapters beyond it stay until evicted. */
void slots_resize(slots_t *s, uint32_t n);
/* Everything on the engine is gone. */
void slots_clear(slots_t *s);

uint32_t slot_hash(str_t adapter);
/* NULL where the adapter has no slot. */
slot_t *slots_find(slots_t *s, str_t adapter);
slot_t *slots_find_empty(slots_t *s);
/* Takes an empty slot for an adapter. */
void slot_assign(slot_t *slot, str_t adapter, slot_state_t state);
void slot_clear(slot_t *slot);
/* Not pinned: nothing runs on it, waits for it, or moves it. */
bool slot_evictable(const slot_t *slot);

/* The slot to evict under the policy, or NULL where all are pinned. */
slot_t *slots_victim(slots_t *s, const serve_cfg_t *cfg);

#ifdef __cplusplus
}
#endif
#endif
