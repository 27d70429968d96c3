/*
 * slot.h - adapter slots of one runner: which adapter each slot holds or loads,
 * how many requests run on it or wait for it, and which one to evict. This is
 * bookkeeping without I/O; the owner of the target sends the orders.
 */
#ifndef DK_SLOT_H
#define DK_SLOT_H

#include "serve.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef enum slot_state {
	SLOT_EMPTY,
	SLOT_LOADING,	/* a load is under way */
	SLOT_RESIDENT,	/* requests may run on it */
	SLOT_UNLOADING, /* an unload is under way; no run may start */
} slot_state_t;

typedef struct slot {
	slot_state_t state;
	str_t adapter;	    /* owned; empty when SLOT_EMPTY */
	uint32_t hash;	    /* slot_hash(adapter) */
	uint32_t running;   /* runs that this owner started */
	uint32_t n_waiting; /* requests that wait for this adapter */
	/* Runs that the engine reports but this owner did not start. */
	uint32_t foreign;
	bool draining; /* no further run starts; evicted once its runs end */
	/*
	 * Another target that comes earlier in the adapter's rendezvous order
	 * has it too; set together with evict_cost_us.
	 */
	bool redundant;
	int64_t loaded_at_us; /* when its load ended */
	int64_t load_us;      /* time that a load of the adapter takes */
	int64_t last_used_us; /* when its load or last run started */
	uint64_t order_id;    /* of the load or unload under way; 0: none */
	/* Set by owner_update_evict_costs() while the adapter is resident. */
	int64_t runs_left_us; /* expected time until its runs end */
	double evict_cost_us; /* expected cost of evicting it */
} slot_t;

typedef struct slots {
	slot_t *v; /* owned */
	uint32_t n;
} slots_t;

void slots_init(slots_t *s, uint32_t n);
void slots_free(slots_t *s);
/*
 * Grows the array to n slots. A smaller n changes nothing: adapters that are
 * resident in slots beyond it stay until they are evicted.
 */
void slots_resize(slots_t *s, uint32_t n);
/* Empties every slot, as the engine has lost all adapters. */
void slots_clear(slots_t *s);

/* Hash of "name@version" or of a name; never 0, which means no adapter. */
uint32_t slot_hash(str_t adapter);
/* The slot of an adapter, or NULL where it has none. */
slot_t *slots_find(slots_t *s, str_t adapter);
/* An empty slot, or NULL where there is none. */
slot_t *slots_find_empty(slots_t *s);
/* Puts an adapter into an empty slot, in the state given. */
void slot_assign(slot_t *slot, str_t adapter, slot_state_t state);
void slot_clear(slot_t *slot);
/*
 * Whether the adapter may be evicted now: it is resident, has no runs, is not
 * being moved, and no request waits for it or the slot is draining.
 */
bool slot_evictable(const slot_t *slot);

/*
 * The evictable slot that costs least under the eviction policy, or NULL where
 * there is none. Among equal costs the least recently used one.
 */
slot_t *slots_victim(slots_t *s, const serve_cfg_t *cfg);

#ifdef __cplusplus
}
#endif
#endif
