/*
 * feed.h - carries decided entries from the leader to all daemons along a
 * tree of bounded fan-out: one daemon's link to its parent and children.
 *
 * An entry says which fed entry goes before it, so that a gap is seen. A child
 * pulls at a slow beat, which acknowledges, resumes and shows that it lives;
 * the parent pushes entries at once. A child that is too far behind gets a
 * snapshot. Whatever parent serves it, a child only ever moves forward.
 */
#ifndef DK_FEED_H
#define DK_FEED_H

#include "machine.h"
#include "state.pb-c.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct feed feed_t;

typedef struct feed_cfg {
	host_id_t self;
	uint32_t fanout;
	int64_t beat_us;   /* between pulls */
	int64_t silent_us; /* without a word of the parent: replace it */
	size_t keep;	   /* entries kept for resumption */
} feed_cfg_t;

typedef struct feed_ops {
	void (*send)(void *ctx, host_id_t to, const Peer__Msg *msg);
	/* The next entry; 0, or -1 where it is not applied. */
	int (*apply)(void *ctx, uint64_t index, entry_kind_t kind, str_t data);
	/* A snapshot of the tables at the latest fed entry. */
	void (*save)(void *ctx, buf_t *out);
	int (*load)(void *ctx, uint64_t index, str_t bytes);
	/* The parent is silent or has no place; another is needed. */
	void (*orphaned)(void *ctx);
} feed_ops_t;

feed_t *feed_new(const feed_cfg_t *cfg, const feed_ops_t *ops, void *ctx);
void feed_free(feed_t *f);

/* Index of the latest entry in force here; 0: none. */
uint64_t feed_index(const feed_t *f);
/* The host itself has put an entry into force (from its log): pass it on. */
void feed_add(feed_t *f, uint64_t index, uint32_t kind, str_t data,
	      int64_t now_us);
/* The host itself has replaced its tables; entries before are not kept. */
void feed_jump(feed_t *f, uint64_t index);
/* 0: no parent (it has a log, or none is known). */
void feed_set_parent(feed_t *f, host_id_t parent, int64_t now_us);
host_id_t feed_parent(const feed_t *f);

void feed_recv(feed_t *f, host_id_t from, const Peer__Msg *msg, int64_t now_us);
/* Returns when it wants to be called again. */
int64_t feed_tick(feed_t *f, int64_t now_us);
size_t feed_children(const feed_t *f);

#ifdef __cplusplus
}
#endif
#endif
