/*
 * mailbox.h - a thread that runs handed-over work in order. Callbacks of the
 * cores are made with their locks held; what would call a core back goes
 * through a mailbox.
 */
#ifndef DK_MAILBOX_H
#define DK_MAILBOX_H

#include "util.h"

#include <urcu/list.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Embedded in the sender's message. */
typedef struct mail {
	struct cds_list_head node; /* of the mailbox */
	/* Carries it out and frees it. */
	void (*run)(void *ctx, struct mail *m);
	/* Frees it where the mailbox ends first. */
	void (*drop)(struct mail *m);
} mail_t;

typedef struct mailbox mailbox_t;

mailbox_t *mailbox_new(void *ctx);
/* 0, or -1 with errno set. Mail sent before waits. */
int mailbox_start(mailbox_t *b);
/* Never blocks; after the stop, mail is dropped. */
void mailbox_send(mailbox_t *b, mail_t *m);
/* Ends after the mail in hand; drops the rest. */
void mailbox_stop(mailbox_t *b);
void mailbox_free(mailbox_t *b);

#ifdef __cplusplus
}
#endif
#endif
