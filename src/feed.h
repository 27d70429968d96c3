/*
 * feed.h - distributes decided log entries from the leader to all daemons along
 * a tree of bounded fan-out. A feed_t is one daemon's node in that tree, with
 * its parent and children.
 *
 * Each entry comes with the index of the feed entry before it, so that a child
 * notices a gap. The parent pushes entries at once. The child sends a pull at a
 * slow interval, which acknowledges entries, requests missing ones and shows
 * that the child is alive. A child that is too far behind gets a snapshot.
 * A child never goes back to an earlier entry, whichever parent serves it.
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
	int64_t pull_interval_us;
	int64_t parent_timeout_us; /* a parent silent for so long is replaced */
	size_t max_records;	   /* entries kept for children to resume */
} feed_cfg_t;

typedef struct feed_ops {
	void (*send)(void *ctx, host_id_t to, const Peer__Msg *msg);
	/* Applies the next entry; 0, or -1 if it cannot be applied. */
	int (*apply)(void *ctx, uint64_t index, entry_kind_t kind, str_t data);
	/* Appends a snapshot of the tables at the latest feed entry. */
	void (*save)(void *ctx, buf_t *out);
	/* Replaces the tables by a snapshot; 0, or -1 if it is not loaded. */
	int (*load)(void *ctx, uint64_t index, str_t bytes);
	/* The parent is silent or takes no more children: asks for another. */
	void (*need_parent)(void *ctx);
} feed_ops_t;

feed_t *feed_new(const feed_cfg_t *cfg, const feed_ops_t *ops, void *ctx);
void feed_free(feed_t *f);

/* Index of the latest feed entry applied here; 0: none. */
uint64_t feed_index(const feed_t *f);
/* Adds an entry that this host has applied from its log; pushes it on. */
void feed_append(feed_t *f, uint64_t index, uint32_t kind, str_t data,
		 int64_t now_us);
/* This host has replaced its tables by those at index: drops all entries. */
void feed_reset(feed_t *f, uint64_t index);
/*
 * Sets the daemon that sends entries to this one; 0 if this host has a log or no
 * parent is known.
 */
void feed_set_parent(feed_t *f, host_id_t parent, int64_t now_us);
host_id_t feed_parent(const feed_t *f);

void feed_recv(feed_t *f, host_id_t from, const Peer__Msg *msg, int64_t now_us);
/* Does what is due and returns when to call it again. */
int64_t feed_tick(feed_t *f, int64_t now_us);
size_t feed_children(const feed_t *f);

#ifdef __cplusplus
}
#endif
#endif
