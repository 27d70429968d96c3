/* journal_disk.h - the disk of a stream_journal_t in a folder. */
#ifndef DK_JOURNAL_DISK_H
#define DK_JOURNAL_DISK_H

#include "stream_journal.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Fills in the disk that keeps segments as files "streams-NUMBER" in a folder, which
 * it shares with the log. The caller holds the folder's lock (wal_open()). 0, or -1
 * with errno set.
 */
int journal_disk_open(str_t folder, journal_disk_t *disk);

#ifdef __cplusplus
}
#endif
#endif
