/* journal_disk.c - segments of the journal of streams as files of a folder. */
#include "journal_disk.h"

#include <dirent.h>
#include <errno.h>
#include <fcntl.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <sys/statvfs.h>
#include <unistd.h>

#define NAME_PREFIX "streams-"
#define NAME_MAX_BYTES 40u
/* No segment begins with less space left: the log has to have room for its own. */
#define RESERVED_BYTES (8u << 20)
/* No more of a file is read; larger ones were not written by a journal. */
#define FILE_MAX (2 * JOURNAL_BYTES_MAX)

typedef struct folder {
	int dir_fd;
	int fd;	      /* of the segment created last; -1: none */
	uint64_t seq; /* of that segment */
} folder_t;

static void file_name(char *name, uint64_t seq)
{
	snprintf(name, NAME_MAX_BYTES, NAME_PREFIX "%020" PRIu64, seq);
}

static int folder_list(void *ctx, void (*visit)(void *arg, uint64_t seq),
		       void *arg)
{
	folder_t *f = ctx;
	int fd = openat(f->dir_fd, ".", O_RDONLY | O_DIRECTORY | O_CLOEXEC);
	DIR *dir = fd < 0 ? NULL : fdopendir(fd);
	size_t prefix_n = strlen(NAME_PREFIX);
	struct dirent *e;
	uint64_t seq;
	int error;

	if (!dir) {
		if (fd >= 0)
			close(fd);
		return -1;
	}
	while (errno = 0, (e = readdir(dir))) {
		str_t name = str_c(e->d_name);

		if (name.n > prefix_n &&
		    !memcmp(name.p, NAME_PREFIX, prefix_n) &&
		    !str_to_u64(str_n(name.p + prefix_n, name.n - prefix_n),
				&seq))
			visit(arg, seq);
	}
	error = errno;
	closedir(dir);
	errno = error;
	return error ? -1 : 0;
}

static int folder_read(void *ctx, uint64_t seq, buf_t *out)
{
	folder_t *f = ctx;
	char name[NAME_MAX_BYTES];
	ssize_t n = 1;
	int fd;

	file_name(name, seq);
	fd = openat(f->dir_fd, name, O_RDONLY | O_CLOEXEC);
	if (fd < 0)
		return -1;
	while (n > 0 && out->n < FILE_MAX) {
		n = read(fd, buf_reserve(out, 1u << 16), 1u << 16);
		if (n < 0 && errno == EINTR)
			n = 1;
		else if (n > 0)
			out->n += (size_t)n;
	}
	close(fd);
	return n < 0 ? -1 : 0;
}

static int folder_create(void *ctx, uint64_t seq)
{
	folder_t *f = ctx;
	struct statvfs st;
	char name[NAME_MAX_BYTES];
	int error;

	if (f->fd >= 0)
		close(f->fd);
	f->fd = -1;
	if (!fstatvfs(f->dir_fd, &st) &&
	    (uint64_t)st.f_bavail * st.f_frsize < RESERVED_BYTES) {
		errno = ENOSPC;
		return -1;
	}
	file_name(name, seq);
	f->fd = openat(f->dir_fd, name,
		       O_WRONLY | O_CREAT | O_EXCL | O_APPEND | O_CLOEXEC,
		       0600);
	f->seq = seq;
	if (f->fd < 0)
		return -1;
	/* Else a loss of power may take the file's name. */
	if (!fsync(f->dir_fd))
		return 0;
	error = errno;
	unlinkat(f->dir_fd, name, 0);
	close(f->fd);
	f->fd = -1;
	errno = error;
	return -1;
}

static int folder_append(void *ctx, str_t bytes)
{
	folder_t *f = ctx;

	while (bytes.n) {
		ssize_t done = write(f->fd, bytes.p, bytes.n);

		if (done < 0 && errno == EINTR)
			continue;
		if (done < 0)
			return -1;
		bytes = str_n(bytes.p + done, bytes.n - (size_t)done);
	}
	return 0;
}

static int folder_sync(void *ctx)
{
	return fdatasync(((folder_t *)ctx)->fd);
}

static int folder_remove(void *ctx, uint64_t seq)
{
	folder_t *f = ctx;
	char name[NAME_MAX_BYTES];

	if (f->fd >= 0 && f->seq == seq) {
		close(f->fd);
		f->fd = -1;
	}
	file_name(name, seq);
	/*
	 * Not synced: a segment that a loss of power brings back holds expired
	 * streams, or is removed again as exceeding the bound.
	 */
	return unlinkat(f->dir_fd, name, 0) && errno != ENOENT ? -1 : 0;
}

static void folder_close(void *ctx)
{
	folder_t *f = ctx;

	if (f->fd >= 0)
		close(f->fd);
	close(f->dir_fd);
	free(f);
}

int journal_disk_open(str_t folder, journal_disk_t *disk)
{
	AUTO_FREE char *path = str_dup(folder);
	int dir_fd = open(path, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
	folder_t *f;

	if (dir_fd < 0)
		return -1;
	f = xcalloc(1, sizeof(*f));
	f->dir_fd = dir_fd;
	f->fd = -1;
	*disk = (journal_disk_t){folder_list,	folder_read,
				 folder_create, folder_append,
				 folder_sync,	folder_remove,
				 folder_close,	f};
	return 0;
}
