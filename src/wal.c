/*
 * wal.c - the log's data folder.
 *
 *   lock       locked while a process uses the folder
 *   meta       format version, cluster, host and incarnation; written once
 *   vote       term and vote; replaced atomically
 *   snapshot   latest snapshot; replaced atomically
 *   log-INDEX  a segment: the records from INDEX on, each with a checksum; each
 *              snapshot starts a new segment
 *
 * Each record says how much of its segment had been synced when it was written.
 * After a loss of power, each write since the last sync may be there, torn or
 * missing, independently of the others; none of them was acknowledged. So the
 * last segment is truncated at the first record that fails its checksum, unless
 * a later record shows that this one had been synced. That is damage to
 * acknowledged records, and the folder is refused: the operator moves it away,
 * and the voter joins again like one whose disk was emptied.
 *
 * Opening the folder syncs what it finds there: a process that died may have
 * left it only in the page cache.
 */
#include "wal.h"

#include "log.h"

#include <dirent.h>
#include <errno.h>
#include <fcntl.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/file.h>
#include <sys/random.h>
#include <sys/stat.h>
#include <unistd.h>

#define FORMAT_VERSION 2u
#define META_MAGIC 0x4d4b4c44u	   /* "DLKM" */
#define VOTE_MAGIC 0x564b4c44u	   /* "DLKV" */
#define SNAPSHOT_MAGIC 0x534b4c44u /* "DLKS" */
#define RECORD_MAGIC 0x524b4c44u   /* "DLKR" */
#define RECORD_ALIGN 8u
#define RECORD_MAX (64u << 20) /* bytes of data */
#define FILE_NAME_MAX 32u

typedef struct meta {
	uint32_t magic;
	uint32_t version;
	uint64_t cluster_hash;
	uint64_t incarnation;
	uint32_t host;
	uint32_t unused;
	uint64_t checksum; /* of the fields before it */
} meta_t;

typedef struct vote {
	uint32_t magic;
	uint32_t voted_for;
	uint64_t term;
	uint64_t checksum; /* of the fields before it */
} vote_t;

typedef struct snapshot_header {
	uint32_t magic;
	uint32_t unused;
	uint64_t index;
	uint64_t term;
	uint64_t bytes;
	uint64_t data_checksum;
	uint64_t checksum; /* of the fields before it */
} snapshot_header_t;

typedef struct record_header {
	uint32_t magic;
	uint32_t kind;
	uint64_t index;
	uint64_t term;
	uint32_t bytes;
	uint32_t synced; /* bytes of the segment that had been synced before */
	uint64_t checksum; /* of the fields before it and the data */
} record_header_t;

/* One file of records. */
typedef struct segment {
	uint64_t first;	 /* index in its name, of its first record */
	uint64_t last;	 /* index of its last record; first - 1 while empty */
	uint64_t size;	 /* in bytes */
	uint64_t synced; /* bytes known to be synced */
} segment_t;

typedef struct folder {
	wal_t wal;
	char *path;
	int dir_fd;
	int lock_fd;
	int segment_fd; /* last segment, open for appending; -1: none */
	bool dirty;	/* something was written and not synced yet */
	segment_t *segs;
	size_t n_segs;
	size_t cap_segs;
	char *snapshot; /* file bytes that recovered.snapshot points into */
} folder_t;

const char *wal_code_text(wal_code_t code)
{
	static const char *const texts[] = {
#define X(name, text) text,
		WAL_ERRORS(X)
#undef X
	};
	return code < ARRAY_SIZE(texts) ? texts[code] : "unknown error";
}

static int set_error(wal_err_t *err, wal_code_t code, const char *file,
		     uint64_t offset)
{
	err->code = code;
	err->sys_errno = errno;
	snprintf(err->detail, sizeof(err->detail), "%s at %" PRIu64 ": %s",
		 file, offset,
		 code == WAL_IO || code == WAL_SYNC || code == WAL_FULL
			 ? strerror(errno)
			 : wal_code_text(code));
	return -1;
}

static int set_io_error(wal_err_t *err, wal_code_t code, const char *file,
			uint64_t offset)
{
	if (errno == ENOSPC || errno == EDQUOT)
		code = WAL_FULL;
	return set_error(err, code, file, offset);
}

static void segment_name(char *name, uint64_t first)
{
	snprintf(name, FILE_NAME_MAX, "log-%020" PRIu64, first);
}

static int write_all(int fd, const char *p, size_t n)
{
	while (n) {
		ssize_t done = write(fd, p, n);

		if (done < 0 && errno == EINTR)
			continue;
		if (done < 0)
			return -1;
		p += done;
		n -= (size_t)done;
	}
	return 0;
}

/* Reads a whole file into out. Returns 1 where there is no such file. */
static int read_file(folder_t *f, const char *name, buf_t *out, wal_err_t *err)
{
	int fd = openat(f->dir_fd, name, O_RDONLY | O_CLOEXEC);
	ssize_t n = 1;

	if (fd < 0)
		return errno == ENOENT ? 1 : set_io_error(err, WAL_IO, name, 0);
	while (n > 0) {
		n = read(fd, buf_reserve(out, 1u << 16), 1u << 16);
		if (n < 0 && errno == EINTR)
			n = 1;
		else if (n > 0)
			out->n += (size_t)n;
	}
	close(fd);
	return n < 0 ? set_io_error(err, WAL_IO, name, out->n) : 0;
}

static int sync_dir(folder_t *f, wal_err_t *err)
{
	if (fsync(f->dir_fd))
		return set_io_error(err, WAL_SYNC, f->path, 0);
	return 0;
}

/* Replaces a file atomically: a crash leaves either the old or the new one. */
static int replace_file(folder_t *f, const char *name, str_t head, str_t body,
			wal_err_t *err)
{
	char tmp[FILE_NAME_MAX];
	int fd;

	snprintf(tmp, sizeof(tmp), "%s.new", name);
	fd = openat(f->dir_fd, tmp, O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC,
		    0600);
	if (fd < 0)
		return set_io_error(err, WAL_IO, tmp, 0);
	if (write_all(fd, head.p, head.n) || write_all(fd, body.p, body.n)) {
		set_io_error(err, WAL_IO, tmp, 0);
		goto fail;
	}
	if (fsync(fd)) {
		set_io_error(err, WAL_SYNC, tmp, 0);
		goto fail;
	}
	close(fd);
	if (renameat(f->dir_fd, tmp, f->dir_fd, name))
		return set_io_error(err, WAL_IO, name, 0);
	return sync_dir(f, err);
fail:
	close(fd);
	unlinkat(f->dir_fd, tmp, 0);
	return -1;
}

/* Segments. */

static int add_segment(folder_t *f, uint64_t first, wal_err_t *err)
{
	char name[FILE_NAME_MAX];
	segment_t *s;

	if (f->n_segs == f->cap_segs) {
		f->cap_segs = f->cap_segs ? f->cap_segs * 2 : 8;
		f->segs = xrealloc(f->segs, f->cap_segs * sizeof(*f->segs));
	}
	segment_name(name, first);
	if (f->segment_fd >= 0)
		close(f->segment_fd);
	f->segment_fd = openat(f->dir_fd, name,
			       O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
	if (f->segment_fd < 0)
		return set_io_error(err, WAL_IO, name, 0);
	s = &f->segs[f->n_segs++];
	s->first = first;
	s->last = first - 1;
	s->size = 0;
	s->synced = 0;
	return sync_dir(f, err);
}

static int remove_segment(folder_t *f, uint64_t first, wal_err_t *err)
{
	char name[FILE_NAME_MAX];

	segment_name(name, first);
	if (unlinkat(f->dir_fd, name, 0) && errno != ENOENT)
		return set_io_error(err, WAL_IO, name, 0);
	return 0;
}

static uint64_t record_checksum(const record_header_t *h, const char *data)
{
	uint64_t header_checksum =
		hash_bytes(h, offsetof(record_header_t, checksum), 0);

	return hash_bytes(data, h->bytes, header_checksum);
}

static size_t record_size(uint32_t bytes)
{
	size_t n = sizeof(record_header_t) + bytes;

	return (n + RECORD_ALIGN - 1) / RECORD_ALIGN * RECORD_ALIGN;
}

/*
 * Reads the header of the record at an offset. Returns the size of the record
 * with padding, or 0 where there is no intact record.
 */
static size_t parse_record(str_t file, size_t offset, record_header_t *h)
{
	if (offset > file.n || file.n - offset < sizeof(*h))
		return 0;
	memcpy(h, file.p + offset, sizeof(*h));
	if (h->magic != RECORD_MAGIC || h->bytes > RECORD_MAX ||
	    record_size(h->bytes) > file.n - offset ||
	    h->checksum != record_checksum(h, file.p + offset + sizeof(*h)))
		return 0;
	return record_size(h->bytes);
}

/* Whether a later record shows that the data at an offset had been synced. */
static bool was_synced(str_t file, size_t offset)
{
	record_header_t h;

	for (size_t i = offset + RECORD_ALIGN; i < file.n; i += RECORD_ALIGN)
		if (parse_record(file, i, &h) && h.synced > offset)
			return true;
	return false;
}

static void pack_record(buf_t *out, const wal_rec_t *rec, uint64_t synced)
{
	static const char zeros[RECORD_ALIGN];
	record_header_t h = {
		.magic = RECORD_MAGIC,
		.kind = rec->kind,
		.index = rec->index,
		.term = rec->term,
		.bytes = (uint32_t)rec->data.n,
		.synced = (uint32_t)synced,
	};
	size_t pad = record_size(h.bytes) - sizeof(h) - rec->data.n;

	h.checksum = record_checksum(&h, rec->data.p ? rec->data.p : "");
	buf_put(out, &h, sizeof(h));
	buf_put(out, rec->data.p, rec->data.n);
	buf_put(out, zeros, pad);
}

static int wal_append(void *ctx, const wal_rec_t *recs, size_t n,
		      wal_err_t *err)
{
	folder_t *f = ctx;
	AUTO_BUF buf_t out = {0};
	segment_t *s;

	if (!n)
		return 0;
	if (!f->n_segs && add_segment(f, recs[0].index, err))
		return -1;
	s = &f->segs[f->n_segs - 1];
	for (size_t i = 0; i < n; i++)
		pack_record(&out, &recs[i], s->synced);
	f->dirty = true;
	if (write_all(f->segment_fd, out.p, out.n))
		return set_io_error(err, WAL_IO, "log", s->size);
	s->size += out.n;
	s->last = recs[n - 1].index;
	return 0;
}

/*
 * Sets *offset to the start of the segment's first record that has this index
 * or a higher one; to the end of its intact records where there is none.
 */
static int find_record_offset(folder_t *f, const segment_t *s, uint64_t index,
			      uint64_t *offset, wal_err_t *err)
{
	AUTO_BUF buf_t file = {0};
	char name[FILE_NAME_MAX];
	record_header_t h;
	size_t at = 0;
	size_t n;

	segment_name(name, s->first);
	if (read_file(f, name, &file, err))
		return -1;
	while ((n = parse_record(buf_str(&file), at, &h)) && h.index < index)
		at += n;
	*offset = at;
	return 0;
}

static int open_last_segment(folder_t *f, wal_err_t *err)
{
	char name[FILE_NAME_MAX];

	if (f->segment_fd >= 0)
		close(f->segment_fd);
	f->segment_fd = -1;
	if (!f->n_segs)
		return 0;
	segment_name(name, f->segs[f->n_segs - 1].first);
	f->segment_fd =
		openat(f->dir_fd, name, O_WRONLY | O_APPEND | O_CLOEXEC, 0600);
	return f->segment_fd < 0 ? set_io_error(err, WAL_IO, name, 0) : 0;
}

static int wal_truncate(void *ctx, uint64_t from, wal_err_t *err)
{
	folder_t *f = ctx;
	segment_t *s;
	uint64_t offset;
	bool removed = false;

	/*
	 * Segments are removed from the end, each synced before the next, so
	 * that a crash or a loss of power leaves no gap between them.
	 */
	while (f->n_segs && f->segs[f->n_segs - 1].first >= from) {
		if (remove_segment(f, f->segs[f->n_segs - 1].first, err) ||
		    sync_dir(f, err))
			return -1;
		f->n_segs--;
		removed = true;
	}
	if (removed && open_last_segment(f, err))
		return -1;
	if (!f->n_segs)
		return 0;
	s = &f->segs[f->n_segs - 1];
	if (s->last < from)
		return 0;
	if (find_record_offset(f, s, from, &offset, err))
		return -1;
	f->dirty = true;
	if (ftruncate(f->segment_fd, (off_t)offset))
		return set_io_error(err, WAL_IO, "log", offset);
	s->size = offset;
	s->last = from - 1;
	if (s->synced > offset)
		s->synced = offset;
	return 0;
}

static int wal_sync(void *ctx, wal_err_t *err)
{
	folder_t *f = ctx;

	if (!f->dirty || f->segment_fd < 0)
		return 0;
	if (fdatasync(f->segment_fd))
		return set_io_error(err, WAL_SYNC, "log",
				    f->segs[f->n_segs - 1].size);
	f->dirty = false;
	f->segs[f->n_segs - 1].synced = f->segs[f->n_segs - 1].size;
	return 0;
}

/* The vote is durable when this returns, without a further sync. */
static int wal_set_vote(void *ctx, uint64_t term, uint32_t voted_for,
			wal_err_t *err)
{
	folder_t *f = ctx;
	vote_t v = {.magic = VOTE_MAGIC, .voted_for = voted_for, .term = term};

	v.checksum = hash_bytes(&v, offsetof(vote_t, checksum), 0);
	return replace_file(f, "vote", str_n((char *)&v, sizeof(v)),
			    str_n(NULL, 0), err);
}

static int wal_snapshot(void *ctx, uint64_t index, uint64_t term, str_t data,
			wal_err_t *err)
{
	folder_t *f = ctx;
	snapshot_header_t h = {.magic = SNAPSHOT_MAGIC,
			       .index = index,
			       .term = term,
			       .bytes = data.n};
	uint64_t last = f->n_segs ? f->segs[f->n_segs - 1].last : 0;
	size_t n_obsolete = 0;

	h.data_checksum = hash_bytes(data.p, data.n, 0);
	h.checksum = hash_bytes(&h, offsetof(snapshot_header_t, checksum), 0);
	if (wal_sync(f, err) ||
	    replace_file(f, "snapshot", str_n((char *)&h, sizeof(h)), data,
			 err))
		return -1;
	free(f->snapshot);
	f->snapshot = NULL;
	f->wal.recovered.snapshot = str_n(NULL, 0);
	if (last < index)
		last = index;
	if (!f->n_segs || f->segs[f->n_segs - 1].size)
		if (add_segment(f, last + 1, err))
			return -1;
	while (n_obsolete + 1 < f->n_segs &&
	       f->segs[n_obsolete].last <= index) {
		if (remove_segment(f, f->segs[n_obsolete].first, err))
			return -1;
		n_obsolete++;
	}
	memmove(f->segs, f->segs + n_obsolete,
		(f->n_segs - n_obsolete) * sizeof(*f->segs));
	f->n_segs -= n_obsolete;
	return 0;
}

static int wal_replay(void *ctx, int (*visit)(void *arg, const wal_rec_t *rec),
		      void *arg, wal_err_t *err)
{
	folder_t *f = ctx;

	for (size_t i = 0; i < f->n_segs; i++) {
		AUTO_BUF buf_t file = {0};
		char name[FILE_NAME_MAX];
		record_header_t h;
		size_t offset = 0;
		size_t n;

		segment_name(name, f->segs[i].first);
		if (read_file(f, name, &file, err))
			return -1;
		while ((n = parse_record(buf_str(&file), offset, &h))) {
			wal_rec_t rec = {h.index, h.term, h.kind,
					 str_n(file.p + offset + sizeof(h),
					       h.bytes)};

			if (h.index > f->wal.recovered.snapshot_index &&
			    visit(arg, &rec))
				return set_error(err, WAL_CORRUPT, name,
						 offset);
			offset += n;
		}
	}
	return 0;
}

/* Opening the folder. */

static int read_vote(folder_t *f, wal_err_t *err)
{
	AUTO_BUF buf_t file = {0};
	vote_t v;
	int rc = read_file(f, "vote", &file, err);

	if (rc)
		return rc < 0 ? -1 : 0;
	if (file.n != sizeof(v))
		return set_error(err, WAL_CORRUPT, "vote", file.n);
	memcpy(&v, file.p, sizeof(v));
	if (v.magic != VOTE_MAGIC ||
	    v.checksum != hash_bytes(&v, offsetof(vote_t, checksum), 0))
		return set_error(err, WAL_CORRUPT, "vote", 0);
	f->wal.recovered.term = v.term;
	f->wal.recovered.voted_for = v.voted_for;
	return 0;
}

static int read_snapshot(folder_t *f, wal_err_t *err)
{
	buf_t file = {0};
	snapshot_header_t h;
	int rc = read_file(f, "snapshot", &file, err);

	f->snapshot = file.p;
	if (rc)
		return rc < 0 ? -1 : 0;
	if (file.n < sizeof(h))
		return set_error(err, WAL_SNAPSHOT, "snapshot", file.n);
	memcpy(&h, file.p, sizeof(h));
	if (h.magic != SNAPSHOT_MAGIC || h.bytes != file.n - sizeof(h) ||
	    h.checksum !=
		    hash_bytes(&h, offsetof(snapshot_header_t, checksum), 0) ||
	    h.data_checksum != hash_bytes(file.p + sizeof(h), h.bytes, 0))
		return set_error(err, WAL_SNAPSHOT, "snapshot", 0);
	f->wal.recovered.snapshot_index = h.index;
	f->wal.recovered.snapshot_term = h.term;
	f->wal.recovered.snapshot = str_n(file.p + sizeof(h), h.bytes);
	return 0;
}

/* Removes the bytes of the last segment from an offset on. */
static int truncate_tail(folder_t *f, const char *name, size_t offset,
			 size_t size, wal_err_t *err)
{
	f->wal.recovered.torn_bytes = size - offset;
	log_event(LOG_WARNING, "log_tail_truncated", KV_C("file", name),
		  kv_u("offset", offset), kv_u("bytes", size - offset));
	if (ftruncate(f->segment_fd, (off_t)offset))
		return set_io_error(err, WAL_IO, name, offset);
	if (fsync(f->segment_fd))
		return set_io_error(err, WAL_SYNC, name, offset);
	return 0;
}

/*
 * Whether a record may stand behind the one before next. A process that ended, or whose
 * disk was full, between the snapshot and the segment that follows it goes on in the
 * segment before: the snapshot holds what is missing there.
 */
static bool may_follow(const folder_t *f, uint64_t index, uint64_t next)
{
	uint64_t snapshot = f->wal.recovered.snapshot_index;

	return !next || index == next ||
	       (index == snapshot + 1 && next <= snapshot);
}

/*
 * Checks the records of one segment, and sets its last index and size. *next is
 * the index that must follow; 0: any.
 */
static int scan_segment(folder_t *f, size_t i, uint64_t *next, wal_err_t *err)
{
	AUTO_BUF buf_t file = {0};
	segment_t *s = &f->segs[i];
	char name[FILE_NAME_MAX];
	record_header_t h;
	size_t offset = 0;
	size_t n;

	segment_name(name, s->first);
	if (read_file(f, name, &file, err))
		return -1;
	s->last = s->first - 1;
	while ((n = parse_record(buf_str(&file), offset, &h))) {
		if (!may_follow(f, h.index, *next))
			break;
		s->last = h.index;
		*next = h.index + 1;
		offset += n;
	}
	s->size = offset;
	if (offset == file.n)
		return 0;
	if (i + 1 < f->n_segs || was_synced(buf_str(&file), offset))
		return set_error(err, WAL_CORRUPT, name, offset);
	return truncate_tail(f, name, offset, file.n, err);
}

static int compare_segments(const void *pa, const void *pb)
{
	const segment_t *a = pa;
	const segment_t *b = pb;

	return (a->first > b->first) - (a->first < b->first);
}

static int list_segments(folder_t *f, wal_err_t *err)
{
	int fd = openat(f->dir_fd, ".", O_RDONLY | O_DIRECTORY | O_CLOEXEC);
	DIR *dir = fd < 0 ? NULL : fdopendir(fd);
	struct dirent *e;
	uint64_t first;

	if (!dir)
		return set_io_error(err, WAL_IO, f->path, 0);
	while ((e = readdir(dir))) {
		str_t name = str_c(e->d_name);

		if (name.n <= 4 || memcmp(name.p, "log-", 4) ||
		    str_to_u64(str_n(name.p + 4, name.n - 4), &first))
			continue;
		if (f->n_segs == f->cap_segs) {
			f->cap_segs = f->cap_segs ? f->cap_segs * 2 : 8;
			f->segs = xrealloc(f->segs,
					   f->cap_segs * sizeof(*f->segs));
		}
		f->segs[f->n_segs].first = first;
		f->segs[f->n_segs++].size = 0;
	}
	closedir(dir);
	if (f->n_segs)
		qsort(f->segs, f->n_segs, sizeof(*f->segs), compare_segments);
	return 0;
}

/*
 * Removes segments that the snapshot made obsolete. Their earlier removal was
 * not synced, so that any of them may be back after a loss of power.
 */
static int remove_obsolete_segments(folder_t *f, wal_err_t *err)
{
	size_t n_obsolete = 0;

	for (size_t i = 1; i < f->n_segs; i++)
		if (f->segs[i].first <= f->wal.recovered.snapshot_index + 1)
			n_obsolete = i;
	if (!n_obsolete)
		return 0;
	for (size_t i = 0; i < n_obsolete; i++)
		if (remove_segment(f, f->segs[i].first, err))
			return -1;
	memmove(f->segs, f->segs + n_obsolete,
		(f->n_segs - n_obsolete) * sizeof(*f->segs));
	f->n_segs -= n_obsolete;
	return 0;
}

static int recover_log(folder_t *f, wal_err_t *err)
{
	uint64_t next = 0;

	if (list_segments(f, err) || remove_obsolete_segments(f, err) ||
	    open_last_segment(f, err))
		return -1;
	for (size_t i = 0; i < f->n_segs; i++)
		if (scan_segment(f, i, &next, err))
			return -1;
	f->dirty = true;
	return sync_dir(f, err) || wal_sync(f, err);
}

/* What a folder belongs to; NULL in place of it: whatever the folder says. */
typedef struct owner {
	uint64_t cluster_hash;
	uint32_t host;
} owner_t;

static int check_meta(folder_t *f, str_t file, const owner_t *owner,
		      wal_err_t *err)
{
	meta_t m;

	if (file.n != sizeof(m))
		return set_error(err, WAL_CORRUPT, "meta", file.n);
	memcpy(&m, file.p, sizeof(m));
	if (m.magic != META_MAGIC || m.version != FORMAT_VERSION)
		return set_error(err, WAL_VERSION, "meta", 0);
	if (m.checksum != hash_bytes(&m, offsetof(meta_t, checksum), 0))
		return set_error(err, WAL_CORRUPT, "meta", 0);
	if (owner &&
	    (m.cluster_hash != owner->cluster_hash || m.host != owner->host))
		return set_error(err, WAL_FOREIGN, "meta", 0);
	f->wal.recovered.incarnation = m.incarnation;
	f->wal.recovered.host = m.host;
	return 0;
}

static int create_meta(folder_t *f, const owner_t *owner, wal_err_t *err)
{
	meta_t m = {
		.magic = META_MAGIC,
		.version = FORMAT_VERSION,
		.cluster_hash = owner->cluster_hash,
		.host = owner->host,
	};

	while (!m.incarnation)
		if (getrandom(&m.incarnation, sizeof(m.incarnation), 0) < 0 &&
		    errno != EINTR)
			return set_io_error(err, WAL_IO, "random source", 0);
	m.checksum = hash_bytes(&m, offsetof(meta_t, checksum), 0);
	f->wal.recovered.empty = true;
	f->wal.recovered.incarnation = m.incarnation;
	f->wal.recovered.host = m.host;
	return replace_file(f, "meta", str_n((char *)&m, sizeof(m)),
			    str_n(NULL, 0), err);
}

/* Checks that the folder is the owner's, or marks a new one as such. */
static int read_or_create_meta(folder_t *f, const owner_t *owner,
			       wal_err_t *err)
{
	AUTO_BUF buf_t file = {0};
	int rc = read_file(f, "meta", &file, err);

	if (rc < 0)
		return -1;
	if (rc == 0)
		return check_meta(f, buf_str(&file), owner, err);
	if (f->n_segs || f->wal.recovered.snapshot_index ||
	    f->wal.recovered.term)
		return set_error(err, WAL_CORRUPT, "meta", 0);
	if (!owner)
		return set_error(err, WAL_MISSING, "meta", 0);
	return create_meta(f, owner, err);
}

/* Opens the folder, which it creates where needed, and locks it. */
static int open_folder(folder_t *f, wal_err_t *err)
{
	if (mkdir(f->path, 0700) && errno != EEXIST)
		return set_io_error(err, WAL_IO, f->path, 0);
	f->dir_fd = open(f->path, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
	if (f->dir_fd < 0)
		return set_io_error(err, WAL_IO, f->path, 0);
	f->lock_fd =
		openat(f->dir_fd, "lock", O_RDWR | O_CREAT | O_CLOEXEC, 0600);
	if (f->lock_fd < 0)
		return set_io_error(err, WAL_IO, "lock", 0);
	if (flock(f->lock_fd, LOCK_EX | LOCK_NB))
		return set_error(err, WAL_LOCKED, "lock", 0);
	return 0;
}

static wal_t *open_wal(str_t path, const owner_t *owner, wal_err_t *err)
{
	static const wal_ops_t ops = {wal_append, wal_truncate, wal_set_vote,
				      wal_sync,	  wal_snapshot, wal_replay};
	folder_t *f = xcalloc(1, sizeof(*f));

	memset(err, 0, sizeof(*err));
	f->wal.ops = &ops;
	f->wal.ctx = f;
	f->path = str_dup(path);
	f->dir_fd = -1;
	f->lock_fd = -1;
	f->segment_fd = -1;
	if (open_folder(f, err) || read_vote(f, err) || read_snapshot(f, err) ||
	    recover_log(f, err) || read_or_create_meta(f, owner, err))
		goto fail;
	return &f->wal;
fail:
	wal_close(&f->wal);
	return NULL;
}

wal_t *wal_open(str_t path, str_t cluster, uint32_t host, wal_err_t *err)
{
	const owner_t owner = {hash_bytes(cluster.p, cluster.n, 0), host};

	return open_wal(path, &owner, err);
}

wal_t *wal_open_existing(str_t path, wal_err_t *err)
{
	AUTO_FREE char *meta = NULL;
	AUTO_BUF buf_t name = {0};

	buf_printf(&name, "%.*s/meta", STR_ARG(path));
	meta = str_dup(buf_str(&name));
	if (!access(meta, F_OK))
		return open_wal(path, NULL, err);
	memset(err, 0, sizeof(*err));
	set_error(err, WAL_MISSING, "meta", 0);
	return NULL;
}

void wal_close(wal_t *w)
{
	folder_t *f = w ? w->ctx : NULL;

	if (!f)
		return;
	if (f->segment_fd >= 0)
		close(f->segment_fd);
	if (f->lock_fd >= 0)
		close(f->lock_fd);
	if (f->dir_fd >= 0)
		close(f->dir_fd);
	free(f->segs);
	free(f->snapshot);
	free(f->path);
	free(f);
}
