/*
 * mailbox.h - a queue of messages and the thread that runs them in order.
 * The cores make their callbacks with their locks held, so a callback that
 * would call a core again sends a message to a mailbox instead.
 */
#ifndef DK_MAILBOX_H
#define DK_MAILBOX_H

#include "util.h"

#include <urcu/list.h>

#ifdef __cplusplus
extern "C" {
#endif

/* One message; embedded at the start of a struct with its content. */
typedef struct mail {
	struct cds_list_head node; /* of the mailbox */
	/* Handles and frees the message. */
	void (*run)(void *ctx, struct mail *m);
	/* Frees the message where the mailbox stops before it has run. */
	void (*drop)(struct mail *m);
} mail_t;

typedef struct mailbox mailbox_t;

/* ctx is passed to mail_t.run(). */
mailbox_t *mailbox_new(void *ctx);
/*
 * Starts the thread; 0, or -1 with errno set. Messages sent before wait for the
 * start.
 */
int mailbox_start(mailbox_t *b);
/* Never waits for messages to run; after mailbox_stop(), m is dropped. */
void mailbox_send(mailbox_t *b, mail_t *m);
/* Waits for the message that runs now, and drops the queued ones. */
void mailbox_stop(mailbox_t *b);
void mailbox_free(mailbox_t *b);

#ifdef __cplusplus
}
#endif
#endif
